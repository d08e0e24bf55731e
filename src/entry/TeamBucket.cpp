// Token bucket that may go into debt for one large job.
#include "entry/TeamBucket.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// Bursts of up to this time's worth of starts pass without delay.
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
  // Rounding in refills must not hold back a whole start.
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
