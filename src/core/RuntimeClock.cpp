// Real time is the boot-time clock plus an offset that accounts for pauses.
// Unlike the steady clock, the boot-time clock includes the time for which a
// host was suspended, during which leases expire.
#include "core/RuntimeClock.h"

#include <atomic>

#include <ctime>

namespace cyclamencroft {
namespace {

// Invariant: the runtime's time is `Offset` plus the boot-time clock while
// running, and `PausedAt` while paused.
std::atomic<bool> Paused{false};
std::atomic<std::int64_t> PausedAt{0};
std::atomic<std::int64_t> Offset{0};

std::int64_t bootMicroseconds() noexcept {
  constexpr std::int64_t PerSecond = 1'000'000;
  constexpr std::int64_t NanosecondsPerMicrosecond = 1'000;
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return Time.tv_sec * PerSecond + Time.tv_nsec / NanosecondsPerMicrosecond;
}

} // namespace

RuntimeClock::time_point RuntimeClock::now() noexcept {
  if (Paused.load(std::memory_order_acquire))
    return time_point(duration(PausedAt.load(std::memory_order_relaxed)));
  return time_point(
      duration(bootMicroseconds() + Offset.load(std::memory_order_relaxed)));
}

void RuntimeClock::pause() noexcept {
  PausedAt.store(now().time_since_epoch().count(), std::memory_order_relaxed);
  Paused.store(true, std::memory_order_release);
}

void RuntimeClock::advance(duration Step) noexcept {
  PausedAt.fetch_add(Step.count(), std::memory_order_relaxed);
}

void RuntimeClock::resume() noexcept {
  Offset.store(PausedAt.load(std::memory_order_relaxed) - bootMicroseconds(),
               std::memory_order_relaxed);
  Paused.store(false, std::memory_order_release);
}

bool RuntimeClock::isPaused() noexcept {
  return Paused.load(std::memory_order_acquire);
}

} // namespace cyclamencroft
