// Real time comes from the steady clock plus an offset that pauses build up.
#include "core/RuntimeClock.h"

#include <atomic>

namespace cyclamencroft {
namespace {

using Steady = std::chrono::steady_clock;

// Invariant: the runtime's time is `Offset` plus the steady clock while
// running, and `PausedAt` while paused.
std::atomic<bool> Paused{false};
std::atomic<std::int64_t> PausedAt{0};
std::atomic<std::int64_t> Offset{0};

std::int64_t steadyMicroseconds() noexcept {
  const auto SinceEpoch = Steady::now().time_since_epoch();
  return std::chrono::duration_cast<Duration>(SinceEpoch).count();
}

} // namespace

RuntimeClock::time_point RuntimeClock::now() noexcept {
  if (Paused.load(std::memory_order_acquire))
    return time_point(duration(PausedAt.load(std::memory_order_relaxed)));
  return time_point(
      duration(steadyMicroseconds() + Offset.load(std::memory_order_relaxed)));
}

void RuntimeClock::pause() noexcept {
  PausedAt.store(now().time_since_epoch().count(), std::memory_order_relaxed);
  Paused.store(true, std::memory_order_release);
}

void RuntimeClock::advance(duration Step) noexcept {
  PausedAt.fetch_add(Step.count(), std::memory_order_relaxed);
}

void RuntimeClock::resume() noexcept {
  Offset.store(PausedAt.load(std::memory_order_relaxed) - steadyMicroseconds(),
               std::memory_order_relaxed);
  Paused.store(false, std::memory_order_release);
}

bool RuntimeClock::isPaused() noexcept {
  return Paused.load(std::memory_order_acquire);
}

} // namespace cyclamencroft
