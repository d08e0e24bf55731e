// Exponentially decaying sum of started work.
#include "jobs/WaitForecast.h"

#include <algorithm>
#include <cmath>

namespace cyclamencroft {

void WaitForecast::decay(TimePoint Now) {
  const auto Since = static_cast<double>((Now - m_DecayedAt).count());
  m_RecentWork *= std::exp(-Since / static_cast<double>(Window.count()));
  m_DecayedAt = Now;
}

void WaitForecast::recordStart(TimePoint Now, WorkAmount Work) {
  decay(Now);
  m_RecentWork += Work;
}

void WaitForecast::scaleRate(std::uint64_t After, std::uint64_t Before) {
  if (After < Before)
    m_RecentWork *= static_cast<double>(After) / static_cast<double>(Before);
}

Duration WaitForecast::waitFor(TimePoint Now, WorkAmount Ahead,
                               std::uint64_t MilliCoresInUse) {
  /// Upper bound of the forecast: longer waits make no difference to a caller.
  constexpr Duration MaxWait = std::chrono::seconds(10);
  if (Ahead <= 0)
    return Duration{};
  decay(Now);
  const double Rate =
      std::max(m_RecentWork / static_cast<double>(Window.count()),
               static_cast<double>(MilliCoresInUse));
  const double Wait = Ahead / std::max(Rate, 1.0);
  const auto MaxCount = static_cast<double>(MaxWait.count());
  return Duration(static_cast<Duration::rep>(std::min(Wait, MaxCount)));
}

} // namespace cyclamencroft
