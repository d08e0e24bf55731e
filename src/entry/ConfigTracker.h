// Tracks the configuration version in use at an entry and the newer versions
// that other processes report, with a time limit for adopting them.
#pragma once

#include "core/Ids.h"
#include "core/RuntimeClock.h"

namespace cyclamencroft {

class ConfigTracker {
public:
  /// Maximum time from the first report of a version to its adoption. An entry
  /// that has not adopted the version by then accepts no new work until it has,
  /// because its configuration is outdated.
  static constexpr Duration AdoptionTimeout = std::chrono::seconds(7);

  /// Version in use; 0 before the first one is adopted.
  ConfigVersion current() const { return m_Current; }

  /// Records that another process has \p Version. Starts the time limit unless
  /// it runs already. Does nothing when the version is not higher than all
  /// known ones.
  void noteAnnouncedVersion(ConfigVersion Version, TimePoint Now);

  /// Makes \p Version the current one; returns false, without effect, when it
  /// is not higher than the current one.
  bool adopt(ConfigVersion Version);

  /// Time from which the entry accepts no work unless it adopts the awaited
  /// version before; TimePoint::max() when no higher version is known.
  TimePoint overdueAt() const;

private:
  ConfigVersion m_Current = 0;
  // Version that the time limit applies to; at most m_Current when none is
  // awaited.
  ConfigVersion m_Awaited = 0;
  TimePoint m_AwaitedSince{};
  // Highest version announced by another process. Invariant: m_Awaited <=
  // m_HighestAnnounced.
  ConfigVersion m_HighestAnnounced = 0;
  TimePoint m_HighestAnnouncedAt{};
};

} // namespace cyclamencroft
