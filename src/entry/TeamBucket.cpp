// Token bucket whose balance may become negative for one large job.
#include "entry/TeamBucket.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// Capacity of the bucket as a time at the current rate; a burst up to it is
// granted without delay.
constexpr double BurstSeconds = 0.5;

} // namespace

void TeamBucket::setRate(double StartsPerSecond, TimePoint Now) {
  refill(Now);
  m_Rate = StartsPerSecond;
  if (!m_Filled)
    m_Tokens = size();
  m_Filled = true;
  m_Tokens = std::min(m_Tokens, size());
}

bool TeamBucket::tryTake(std::uint32_t Tasks, TimePoint Now) {
  refill(Now);
  // Rounding errors of refills must not delay a start.
  constexpr double Tolerance = 1e-6;
  if (m_Tokens + Tolerance < std::min<double>(Tasks, size()))
    return false;
  m_Tokens -= Tasks;
  return true;
}

void TeamBucket::refill(TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_Tokens = std::min(size(), m_Tokens + Elapsed.count() * m_Rate);
}

double TeamBucket::size() const { return std::max(1.0, m_Rate * BurstSeconds); }

} // namespace cyclamencroft
