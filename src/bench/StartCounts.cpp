// Implements the start counts of stand-in endpoints.
#include "bench/StartCounts.h"

#include <algorithm>

namespace cyclamencroft {

void StartCounts::start(const std::string &Task) {
  const std::lock_guard Lock(m_Mutex);
  const std::uint32_t Count = ++m_Starts[Task];
  ++m_Totals.m_Total;
  if (Count > 1)
    ++m_Totals.m_Repeated;
  m_Totals.m_Distinct = m_Starts.size();
  ++m_Totals.m_Running;
  m_Totals.m_PeakRunning = std::max(m_Totals.m_PeakRunning, m_Totals.m_Running);
}

void StartCounts::end(bool Aborted) {
  const std::lock_guard Lock(m_Mutex);
  --m_Totals.m_Running;
  if (Aborted)
    ++m_Totals.m_Aborted;
}

StartTotals StartCounts::totals() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Totals;
}

std::map<std::string, std::uint32_t> StartCounts::byTask() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Starts;
}

std::map<std::string, std::uint32_t> StartCounts::repeated() const {
  const std::lock_guard Lock(m_Mutex);
  std::map<std::string, std::uint32_t> Found;
  for (const auto &[Task, Count] : m_Starts)
    if (Count > 1)
      Found.emplace(Task, Count);
  return Found;
}

} // namespace cyclamencroft
