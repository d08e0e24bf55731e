// Token bucket that is filled by requests and, up to a minimum, by time.
#include "entry/RetryBudget.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

constexpr std::int64_t OneRetry = 100;

// After the loss of one of 14 failure domains, the outcome of the tasks in
// about 1,100 of 16,000 slots is unknown; the bucket allows one retry for such
// a burst.
constexpr std::int64_t LargestBalance = 1000 * OneRetry;

// Without a minimum, services with few requests could never retry.
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
  // The minimum is full within a few seconds, so the limit of 60 s has no
  // effect on the balance. It prevents an overflow of the product when the
  // clock starts far from zero.
  const std::int64_t Counted = std::min(Elapsed, 60 * MicrosecondsPerSecond);
  const std::int64_t Refilled =
      Counted * MinimumPerSecond / MicrosecondsPerSecond;
  if (Refilled <= 0)
    return;
  // The time that did not yield a whole hundredth counts in the next refill.
  const std::int64_t Remainder =
      Counted - Refilled * MicrosecondsPerSecond / MinimumPerSecond;
  m_LastRefill = Now - Duration(Remainder);
  if (m_Balance < MinimumBalance)
    m_Balance = std::min(MinimumBalance, m_Balance + Refilled);
}

} // namespace cyclamencroft
