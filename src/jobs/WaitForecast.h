// Forecasts how long a new job would wait for capacity, from the work that
// waits before it and the rate at which work has been started. Under sustained
// overload, a job that could only start too late is refused at once, so that
// its caller can act and its capacity goes to jobs that can still be on time.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

/// Work in milli-cores times microseconds. Callers declare sizes and times
/// whose product no integer type holds.
using WorkAmount = double;

class WaitForecast {
public:
  /// Records that \p Work was started at \p Now.
  void recordStart(TimePoint Now, WorkAmount Work);

  /// The capacity has changed from \p Before to \p After, in any unit. A loss
  /// lowers the expected rate at once; a gain shows in the starts.
  void scaleRate(std::uint64_t After, std::uint64_t Before);

  /// Time until \p Ahead has been started, at the recent rate of starts or the
  /// rate at which \p MilliCoresInUse complete work, whichever is higher: after
  /// a period of low load the first is too low. At most 10 s.
  Duration waitFor(TimePoint Now, WorkAmount Ahead,
                   std::uint64_t MilliCoresInUse);

private:
  /// Time constant of the decay, so that the rate covers the starts of several
  /// rounds of short tasks.
  static constexpr Duration Window = std::chrono::milliseconds(400);

  void decay(TimePoint Now);

  /// Work started within about one Window, older starts counting less.
  double m_RecentWork = 0;
  TimePoint m_DecayedAt{};
};

} // namespace cyclamencroft
