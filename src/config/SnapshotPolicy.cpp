// The log reports its first and next offset but not its retention limit. Before
// the first truncation, snapshots are due after a number of records or a
// period; afterwards, also when the newest one is in the oldest quarter of the
// retained records.
#include "config/SnapshotPolicy.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// A snapshot in the oldest 1/4 of the retained records is renewed.
constexpr std::uint64_t MarginFraction = 4;

bool isNearRetention(std::uint64_t SnapshotOffset, std::uint64_t First,
                     std::uint64_t Next) {
  if (First == 0)
    return false;
  return SnapshotOffset < First ||
         (SnapshotOffset - First) * MarginFraction < Next - First;
}

} // namespace

SnapshotPolicy::SnapshotPolicy(const SnapshotLimits &Limits, std::uint64_t Seed)
    : m_Limits(Limits), m_Random(Seed) {}

bool SnapshotPolicy::isNeeded(TimePoint Now,
                              const ConfigStateMachine &StateMachine,
                              std::uint64_t First, std::uint64_t Next) {
  const bool CaughtUp =
      StateMachine.isCurrent() && StateMachine.nextOffset() >= Next;
  if (!CaughtUp || StateMachine.currentVersion() == 0)
    return false;
  // Without a snapshot, readers need the log from offset 0.
  const SnapshotPosition Newest =
      StateMachine.newestSnapshot().value_or(SnapshotPosition{});
  if (StateMachine.currentVersion() <= Newest.m_Version)
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

std::optional<TimePoint>
SnapshotPolicy::due(TimePoint Now, const ConfigStateMachine &StateMachine,
                    std::uint64_t First, std::uint64_t Next) {
  if (!isNeeded(Now, StateMachine, First, Next)) {
    m_DueAt.reset();
    return std::nullopt;
  }
  const SnapshotPosition Newest =
      StateMachine.newestSnapshot().value_or(SnapshotPosition{});
  const bool Urgent = Newest.m_Offset < First;
  if (!m_DueAt || (Urgent && !m_DueIsUrgent)) {
    const Duration Pause = pauseFor(Urgent);
    const TimePoint Earliest = m_LastAttemptAt ? *m_LastAttemptAt + Pause : Now;
    std::uniform_int_distribution<Duration::rep> Wait(0, Pause.count());
    m_DueAt = std::max(Now, Earliest) + Duration(Wait(m_Random));
    m_DueIsUrgent = Urgent;
  }
  return m_DueAt;
}

void SnapshotPolicy::recordAttempt(TimePoint Now) {
  m_DueAt.reset();
  m_LastAttemptAt = Now;
}

} // namespace cyclamencroft
