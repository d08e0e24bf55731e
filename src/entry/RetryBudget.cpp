// Token bucket that is filled by requests and, up to a minimum, by time.
#include "entry/RetryBudget.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

constexpr std::int64_t OneRetry = 100;

// After the loss of one of 14 failure domains, the outcome of the tasks in
// about 1,100 of 16,000 slots is unknown. A full bucket allows a retry of
// nearly all of them at once.
constexpr std::int64_t MaxBalance = 1000 * OneRetry;

// Time adds retries at this rate up to this balance, because a service with few
// requests could otherwise never retry.
constexpr std::int64_t MinRefillPerSecond = 3 * OneRetry;
constexpr std::int64_t MaxRefilledBalance = 10 * OneRetry;

constexpr std::int64_t MicrosecondsPerSecond = 1000000;

} // namespace

void RetryBudget::requestArrived(std::uint32_t Percent, TimePoint Now) {
  refill(Now);
  m_Balance = std::min(MaxBalance, m_Balance + Percent);
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
  // The balance reaches MaxRefilledBalance within a few seconds, so the limit
  // of 60 s has no effect on it. It prevents an overflow of the product when
  // the clock starts far from zero.
  const std::int64_t Counted = std::min(Elapsed, 60 * MicrosecondsPerSecond);
  const std::int64_t Refilled =
      Counted * MinRefillPerSecond / MicrosecondsPerSecond;
  if (Refilled <= 0)
    return;
  // The time that did not yield a whole hundredth counts in the next refill.
  const std::int64_t Remainder =
      Counted - Refilled * MicrosecondsPerSecond / MinRefillPerSecond;
  m_LastRefill = Now - Duration(Remainder);
  if (m_Balance < MaxRefilledBalance)
    m_Balance = std::min(MaxRefilledBalance, m_Balance + Refilled);
}

} // namespace cyclamencroft
