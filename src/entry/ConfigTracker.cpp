// Compares reported, awaited and adopted configuration versions.
#include "entry/ConfigTracker.h"

namespace cyclamencroft {

void ConfigTracker::noteAnnouncedVersion(ConfigVersion Version, TimePoint Now) {
  if (Version <= m_Current || Version <= m_HighestAnnounced)
    return;
  m_HighestAnnounced = Version;
  m_HighestAnnouncedAt = Now;
  if (m_Awaited > m_Current)
    return;
  m_Awaited = Version;
  m_AwaitedSince = Now;
}

bool ConfigTracker::adopt(ConfigVersion Version) {
  if (Version <= m_Current)
    return false;
  m_Current = Version;
  if (m_Awaited > m_Current)
    return true;
  m_Awaited = m_HighestAnnounced;
  m_AwaitedSince = m_HighestAnnouncedAt;
  return true;
}

TimePoint ConfigTracker::overdueAt() const {
  return m_Awaited > m_Current ? m_AwaitedSince + AdoptionTimeout
                               : TimePoint::max();
}

} // namespace cyclamencroft
