// Computes lease expiry times in the clock of the endpoint.
#include "runs/EndpointLeaseClock.h"

#include "runs/LeaseTimes.h"

#include <algorithm>

namespace cyclamencroft {

void EndpointLeaseClock::observe(TimePoint Now, EndpointMs Clock) {
  m_Reading = Reading{Now, Clock};
}

void EndpointLeaseClock::reset() {
  m_Reading.reset();
  m_LatestLeaseExpiry = TimePoint{};
}

EndpointMs EndpointLeaseClock::grant(TimePoint Now) {
  const Duration Since = Now - m_Reading->m_At;
  m_LatestLeaseExpiry = std::max(
      m_LatestLeaseExpiry, Now + m_Lease * EndpointLeaseExpiryPercent / 100);
  const auto Ahead =
      std::chrono::duration_cast<std::chrono::milliseconds>(Since + m_Lease);
  return m_Reading->m_Clock + Ahead.count();
}

} // namespace cyclamencroft
