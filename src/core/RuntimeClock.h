// Clock of the runtime. It runs in real time in daemons; tests pause it and
// advance it explicitly.
#pragma once

#include <chrono>
#include <cstdint>

namespace cyclamencroft {

/// Monotonic clock in microseconds. Safe to read and control from any thread.
class RuntimeClock {
public:
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<RuntimeClock, duration>;
  static constexpr bool is_steady = true;

  /// Current time; constant while the clock is paused, except for advance().
  static time_point now() noexcept;

  /// Stops the clock at its current time.
  static void pause() noexcept;

  /// Moves a paused clock forward by \p Step.
  static void advance(duration Step) noexcept;

  /// Resumes a paused clock at its current time.
  static void resume() noexcept;

  /// True while the clock is paused.
  static bool isPaused() noexcept;
};

using Duration = RuntimeClock::duration;
using TimePoint = RuntimeClock::time_point;

} // namespace cyclamencroft
