// Limits the rate of log lines of a process, so that logging a burst of
// decisions can't take CPU time from the work itself.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <mutex>
#include <optional>

namespace cyclamencroft {

/// Token bucket that holds at most the lines of one second. Safe from any
/// thread.
class LogBudget {
public:
  /// Sets the rate limit; 0, the initial value, allows every line.
  void setRate(std::uint32_t LinesPerSecond);

  /// std::nullopt when the line must be dropped; otherwise the number of
  /// dropped lines to report before it, which is non-zero at most once per
  /// ReportInterval.
  std::optional<std::uint64_t> take(TimePoint Now);

  static constexpr Duration ReportInterval = std::chrono::seconds(1);

private:
  std::mutex m_Mutex;
  /// 0 for no limit. All members are guarded by m_Mutex.
  std::uint32_t m_Rate = 0;
  /// Invariant: at most m_Rate.
  double m_Tokens = 0;
  TimePoint m_RefilledAt{};
  /// Lines dropped since m_LastReportAt.
  std::uint64_t m_Dropped = 0;
  TimePoint m_LastReportAt{};
};

} // namespace cyclamencroft
