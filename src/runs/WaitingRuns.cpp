// Queue of waiting runs. Linear searches suffice, because it holds a handful of
// runs.
#include "runs/WaitingRuns.h"

#include <algorithm>
#include <vector>

namespace cyclamencroft {

void WaitingRuns::add(WaitingRun Run, TimePoint Now) {
  m_Size += Run.m_Need;
  const bool Late = Run.m_LatestStart < Now;
  m_Runs.emplace(SortKey{Late, Run.m_LatestStart, m_Arrivals++},
                 std::move(Run));
}

std::optional<WaitingRun> WaitingRuns::takeFitting(const Size &Free) {
  const auto Found =
      std::find_if(m_Runs.begin(), m_Runs.end(), [&Free](const auto &Each) {
        return Free.holds(Each.second.m_Need);
      });
  if (Found == m_Runs.end())
    return std::nullopt;
  WaitingRun Taken = std::move(Found->second);
  m_Runs.erase(Found);
  m_Size -= Taken.m_Need;
  return Taken;
}

void WaitingRuns::remove(
    const std::function<bool(const WaitingRun &)> &Selected,
    const std::function<void(const WaitingRun &)> &Removed) {
  std::vector<WaitingRun> Taken;
  for (auto Next = m_Runs.begin(); Next != m_Runs.end();) {
    const auto Each = Next++;
    if (!Selected(Each->second))
      continue;
    m_Size -= Each->second.m_Need;
    Taken.push_back(std::move(Each->second));
    m_Runs.erase(Each);
  }
  for (const WaitingRun &Each : Taken)
    Removed(Each);
}

bool WaitingRuns::contains(const TaskName &Task) const {
  return std::any_of(m_Runs.begin(), m_Runs.end(), [&Task](const auto &Each) {
    return Each.second.m_Name.m_Task == Task;
  });
}

void WaitingRuns::forEach(
    const std::function<void(const WaitingRun &)> &Visit) const {
  for (const auto &[Key, Run] : m_Runs)
    Visit(Run);
}

TimePoint WaitingRuns::nextWaitExpiry() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Key, Run] : m_Runs)
    Next = std::min(Next, Run.m_WaitExpiresAt);
  return Next;
}

} // namespace cyclamencroft
