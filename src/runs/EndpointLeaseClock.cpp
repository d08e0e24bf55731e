// Computes lease expiry times in the clock of the endpoint.
#include "runs/EndpointLeaseClock.h"

#include "runs/LeaseTimes.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

EndpointMs wholeMilliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

void EndpointLeaseClock::observe(TimePoint Now, EndpointMs Clock) {
  if (!m_Reading || Clock >= earliestClock(Now))
    m_Reading = Reading{Now, Clock};
}

void EndpointLeaseClock::reset() {
  m_Reading.reset();
  m_LatestLeaseExpiry = TimePoint{};
}

EndpointMs EndpointLeaseClock::grant(TimePoint Now) {
  m_LatestLeaseExpiry = std::max(
      m_LatestLeaseExpiry, Now + m_Lease * EndpointLeaseExpiryPercent / 100);
  return earliestClock(Now) + wholeMilliseconds(m_Lease);
}

Duration EndpointLeaseClock::readingAge(TimePoint Now) const {
  return m_Reading ? Now - m_Reading->m_At : Duration{};
}

EndpointMs EndpointLeaseClock::earliestClock(TimePoint Now) const {
  const Duration Elapsed =
      readingAge(Now) * (100 - EndpointClockDriftPercent) / 100;
  return m_Reading->m_Clock + wholeMilliseconds(Elapsed);
}

} // namespace cyclamencroft
