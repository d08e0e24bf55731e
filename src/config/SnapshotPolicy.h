// Decides when an entry appends a snapshot of the configuration, so that a
// reader that starts at the truncated log still finds the version in effect.
#pragma once

#include "config/ConfigJudge.h"
#include "core/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace cyclamencroft {

struct SnapshotLimits {
  /// A snapshot is due after this many records when the version has changed.
  std::uint64_t m_Records = 64;
  /// Or this long after the first change that no snapshot holds.
  Duration m_Period{std::chrono::hours(1)};
  /// Entries wait a random time up to this before they append, so that the
  /// first one's snapshot is read by the others and they don't append theirs.
  Duration m_Jitter{std::chrono::seconds(10)};
  /// The same once the log holds no usable snapshot: until there is one, nobody
  /// who starts can tell the version, and operators can't publish.
  Duration m_UrgentJitter{std::chrono::milliseconds(500)};
};

class SnapshotPolicy {
public:
  SnapshotPolicy(const SnapshotLimits &Limits, std::uint64_t Seed);

  /// Time to append; nothing while no snapshot is needed. Call after every
  /// read with the log's first and next offset, and again before appending.
  std::optional<TimePoint> due(TimePoint Now, const ConfigJudge &Judge,
                               std::uint64_t First, std::uint64_t Next);

  /// An append was tried, whatever became of it. The next one waits, so that
  /// a lost reply leads to no second append before the log is read again.
  void tried(TimePoint Now);

private:
  /// Longest random wait, and pause after an append that was tried.
  Duration pauseFor(bool Urgent) const {
    return Urgent ? m_Limits.m_UrgentJitter : m_Limits.m_Jitter;
  }
  bool isNeeded(TimePoint Now, const ConfigJudge &Judge, std::uint64_t First,
                std::uint64_t Next);

  SnapshotLimits m_Limits;
  std::mt19937_64 m_Random;
  /// Set while a snapshot is needed.
  std::optional<TimePoint> m_DueAt;
  /// True when m_DueAt was drawn for a log without a usable snapshot.
  bool m_DueUrgently = false;
  /// When a version that no snapshot holds was first seen.
  std::optional<TimePoint> m_ChangedSince;
  std::optional<TimePoint> m_TriedAt;
};

} // namespace cyclamencroft
