// Which configuration version the entry has, which it has heard of, and whether
// it has been behind for too long.
#pragma once

#include "core/Ids.h"
#include "core/RuntimeClock.h"

namespace cyclamencroft {

class ConfigTracker {
public:
  /// A change is in effect everywhere within this time, or the entry that does
  /// not have it takes no work.
  static constexpr Duration AdoptionLimit = std::chrono::seconds(7);

  ConfigVersion current() const { return m_Current; }

  /// Notes that another process has a version.
  void heardOf(ConfigVersion Version, TimePoint Now);

  /// Makes a version the current one; false, without effect, unless it is
  /// higher.
  bool adopt(ConfigVersion Version);

  /// When the entry stops taking work unless it adopts a version before;
  /// TimePoint::max() when it is not behind.
  TimePoint overdueAt() const;

private:
  ConfigVersion m_Current = 0;
  // Version that the limit runs for; not above m_Current when none is awaited.
  ConfigVersion m_Awaited = 0;
  TimePoint m_AwaitedSince{};
  // Highest version heard of. Invariant: m_Awaited <= m_Heard.
  ConfigVersion m_Heard = 0;
  TimePoint m_HeardAt{};
};

} // namespace cyclamencroft
