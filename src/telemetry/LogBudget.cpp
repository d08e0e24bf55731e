// Implements the token bucket; one token is one log line.
#include "telemetry/LogBudget.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {

void LogBudget::setRate(std::uint32_t LinesPerSecond) {
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Rate = LinesPerSecond;
  m_Tokens = LinesPerSecond;
  m_RefilledAt = RuntimeClock::now();
}

std::optional<std::uint64_t> LogBudget::take(TimePoint Now) {
  constexpr double MicrosecondsPerSecond = 1e6;
  const std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Rate == 0)
    return 0;
  const double Seconds =
      static_cast<double>((Now - m_RefilledAt).count()) / MicrosecondsPerSecond;
  m_Tokens = std::min<double>(m_Rate, m_Tokens + Seconds * m_Rate);
  m_RefilledAt = Now;
  if (m_Tokens < 1) {
    ++m_Dropped;
    return std::nullopt;
  }
  m_Tokens -= 1;
  if (m_Dropped == 0 || Now - m_LastReportAt < ReportInterval)
    return 0;
  m_LastReportAt = Now;
  return std::exchange(m_Dropped, 0);
}

} // namespace cyclamencroft
