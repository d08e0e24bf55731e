// Decides when an entry appends a snapshot of the configuration, so that a new
// reader of the truncated log can still determine the version in effect.
#pragma once

#include "config/ConfigStateMachine.h"
#include "core/RuntimeClock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace cyclamencroft {

struct SnapshotLimits {
  /// A snapshot is due after this many records when the version has changed.
  std::uint64_t m_Records = 64;
  /// A snapshot is also due this long after the first change that no snapshot
  /// covers.
  Duration m_Period{std::chrono::hours(1)};
  /// Entries wait a random time up to this before they append, so that the
  /// others read the first snapshot and don't append their own.
  Duration m_Jitter{std::chrono::seconds(10)};
  /// Replaces m_Jitter while the log has no usable snapshot. Until there is
  /// one, new readers can't determine the version and operators can't publish.
  Duration m_UrgentJitter{std::chrono::milliseconds(500)};
};

class SnapshotPolicy {
public:
  SnapshotPolicy(const SnapshotLimits &Limits, std::uint64_t Seed);

  /// Time at which to append; nothing while no snapshot is needed. Must be
  /// called with the log's first and next offset after every read, and again
  /// before appending.
  std::optional<TimePoint> due(TimePoint Now,
                               const ConfigStateMachine &StateMachine,
                               std::uint64_t First, std::uint64_t Next);

  /// Records an attempt to append, whatever its outcome. The next attempt is
  /// delayed, so that a lost reply causes no second append before the log is
  /// read again.
  void recordAttempt(TimePoint Now);

private:
  /// Upper bound of the random wait, and pause after an attempt to append.
  Duration pauseFor(bool Urgent) const {
    return Urgent ? m_Limits.m_UrgentJitter : m_Limits.m_Jitter;
  }
  bool isNeeded(TimePoint Now, const ConfigStateMachine &StateMachine,
                std::uint64_t First, std::uint64_t Next);

  SnapshotLimits m_Limits;
  std::mt19937_64 m_Random;
  /// Set while a snapshot is needed.
  std::optional<TimePoint> m_DueAt;
  /// True when m_DueAt was chosen for a log without a usable snapshot.
  bool m_DueIsUrgent = false;
  /// When a version that no snapshot covers was first observed.
  std::optional<TimePoint> m_ChangedSince;
  std::optional<TimePoint> m_LastAttemptAt;
};

} // namespace cyclamencroft
