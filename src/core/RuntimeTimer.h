// Asio timer that uses the runtime's clock.
#pragma once

#include "core/RuntimeClock.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <algorithm>

namespace cyclamencroft {

/// Limits each wait while the clock is paused, because Asio waits in real time
/// and would otherwise not detect that a test has advanced the clock.
struct RuntimeWaitTraits {
  static constexpr Duration PausedPoll{std::chrono::milliseconds(2)};

  static Duration to_wait_duration(const Duration &Wait) {
    return RuntimeClock::isPaused() ? std::min(Wait, PausedPoll) : Wait;
  }
  static Duration to_wait_duration(const TimePoint &Time) {
    return to_wait_duration(Time - RuntimeClock::now());
  }
};

using RuntimeTimer =
    boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits>;

} // namespace cyclamencroft
