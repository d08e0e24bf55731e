// Retry budget as a bucket that requests and time fill.
#include "entry/RetryBudget.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

constexpr std::int64_t OneRetry = 100;

// The loss of one of 14 failure domains leaves about 1,100 of 16,000 slots in
// doubt; the bucket lets such a burst be retried once.
constexpr std::int64_t LargestBalance = 1000 * OneRetry;

// Services with few requests could otherwise never retry.
constexpr std::int64_t MinimumPerSecond = 3 * OneRetry;
constexpr std::int64_t MinimumBalance = 10 * OneRetry;

constexpr std::int64_t MicrosecondsPerSecond = 1000000;

} // namespace

void RetryBudget::requestArrived(std::uint32_t Percent, TimePoint Now) {
  refill(Now);
  m_Balance = std::min(LargestBalance, m_Balance + Percent);
}

bool RetryBudget::tryRetry(TimePoint Now) {
  refill(Now);
  if (m_Balance < OneRetry)
    return false;
  m_Balance -= OneRetry;
  return true;
}

void RetryBudget::refill(TimePoint Now) {
  const std::int64_t Elapsed = (Now - m_LastRefill).count();
  // A second or more fills the minimum in a few steps; the limit keeps the
  // product in range when the clock starts far from zero.
  const std::int64_t Counted = std::min(Elapsed, 60 * MicrosecondsPerSecond);
  const std::int64_t Earned =
      Counted * MinimumPerSecond / MicrosecondsPerSecond;
  if (Earned <= 0)
    return;
  // What is left of the last hundredth counts next time.
  const std::int64_t Left =
      Counted - Earned * MicrosecondsPerSecond / MinimumPerSecond;
  m_LastRefill = Now - Duration(Left);
  if (m_Balance < MinimumBalance)
    m_Balance = std::min(MinimumBalance, m_Balance + Earned);
}

} // namespace cyclamencroft
