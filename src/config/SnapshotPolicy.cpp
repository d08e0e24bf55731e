// The log tells only its first and next offset, not its retention limit, so
// spacing covers the time before retention starts and the oldest quarter of
// the records kept is the margin once it has started.
#include "config/SnapshotPolicy.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// A snapshot in the oldest 1/4 of the records kept is renewed.
constexpr std::uint64_t MarginFraction = 4;

bool isNearRetention(std::uint64_t Holds, std::uint64_t First,
                     std::uint64_t Next) {
  if (First == 0)
    return false;
  return Holds < First || (Holds - First) * MarginFraction < Next - First;
}

} // namespace

SnapshotPolicy::SnapshotPolicy(const SnapshotLimits &Limits, std::uint64_t Seed)
    : m_Limits(Limits), m_Random(Seed) {}

bool SnapshotPolicy::isNeeded(TimePoint Now, const ConfigJudge &Judge,
                              std::uint64_t First, std::uint64_t Next) {
  const bool CaughtUp = Judge.isCurrent() && Judge.nextOffset() >= Next;
  if (!CaughtUp || Judge.currentVersion() == 0)
    return false;
  // Without a snapshot, readers rely on the log from its very first record.
  const SnapshotSeen Newest = Judge.newestSnapshot().value_or(SnapshotSeen{});
  if (Judge.currentVersion() <= Newest.m_Version)
    m_ChangedSince.reset();
  else if (!m_ChangedSince)
    m_ChangedSince = Now;
  if (isNearRetention(Newest.m_Offset, First, Next))
    return true;
  if (!m_ChangedSince)
    return false;
  return Next - Newest.m_Offset >= m_Limits.m_Records ||
         Now - *m_ChangedSince >= m_Limits.m_Period;
}

std::optional<TimePoint> SnapshotPolicy::due(TimePoint Now,
                                             const ConfigJudge &Judge,
                                             std::uint64_t First,
                                             std::uint64_t Next) {
  if (!isNeeded(Now, Judge, First, Next)) {
    m_DueAt.reset();
    return std::nullopt;
  }
  const SnapshotSeen Newest = Judge.newestSnapshot().value_or(SnapshotSeen{});
  const bool Urgent = Newest.m_Offset < First;
  if (!m_DueAt || (Urgent && !m_DueUrgently)) {
    const Duration Pause = pauseFor(Urgent);
    const TimePoint Earliest = m_TriedAt ? *m_TriedAt + Pause : Now;
    std::uniform_int_distribution<Duration::rep> Wait(0, Pause.count());
    m_DueAt = std::max(Now, Earliest) + Duration(Wait(m_Random));
    m_DueUrgently = Urgent;
  }
  return m_DueAt;
}

void SnapshotPolicy::tried(TimePoint Now) {
  m_DueAt.reset();
  m_TriedAt = Now;
}

} // namespace cyclamencroft
