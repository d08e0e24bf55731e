// Counts the starts of every task at stand-in endpoints to detect repeated
// starts.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace cyclamencroft {

struct StartTotals {
  /// All starts, including repeated ones.
  std::uint64_t m_Total = 0;
  /// Number of distinct pairs of request id and task index.
  std::uint64_t m_Distinct = 0;
  /// Starts beyond the first of each pair.
  std::uint64_t m_Repeated = 0;
  std::uint32_t m_Running = 0;
  /// Peak number of tasks running at the same time.
  std::uint32_t m_PeakRunning = 0;
  /// Runs that ended because the agent closed the connection.
  std::uint64_t m_Aborted = 0;
};

/// Thread-safe. Several endpoints may share one object.
class StartCounts {
public:
  /// \p Task is the request id and task index in text form.
  void start(const std::string &Task);
  void end(bool Aborted);

  StartTotals totals() const;
  /// All tasks with their number of starts.
  std::map<std::string, std::uint32_t> byTask() const;
  /// Tasks started more than once, with their number of starts.
  std::map<std::string, std::uint32_t> repeated() const;

private:
  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  std::map<std::string, std::uint32_t> m_Starts;
  StartTotals m_Totals;
};

} // namespace cyclamencroft
