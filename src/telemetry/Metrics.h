// Response-time and run-time statistics of a process, collected with
// Boost.Accumulators and Boost.Histogram and exported in the Prometheus text
// format.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamencroft {

class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds one duration to the distribution \p Name (seconds when exported).
  /// Safe from any thread.
  void observe(std::string_view Name, Duration Value);

  /// Sets a counter or gauge to its current value. Safe from any thread.
  void set(std::string_view Name, std::uint64_t Value);

  /// Prometheus text format: a histogram and the quantiles 0.5, 0.9, 0.99 of
  /// each distribution, then counters and gauges.
  std::string toPrometheus() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
