// Queue of admitted tasks in an agent.
#include "agent/WaitingTasks.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {

WaitingTask WaitingTasks::pop() {
  WaitingTask First = std::move(m_Tasks.front());
  m_Tasks.pop_front();
  return First;
}

std::vector<WaitingTask> WaitingTasks::take(const Condition &Predicate) {
  std::vector<WaitingTask> Taken;
  std::deque<WaitingTask> Kept;
  for (WaitingTask &Task : m_Tasks)
    if (Predicate(Task))
      Taken.push_back(std::move(Task));
    else
      Kept.push_back(std::move(Task));
  m_Tasks = std::move(Kept);
  return Taken;
}

TimePoint WaitingTasks::earliestDeadline() const {
  TimePoint Earliest = TimePoint::max();
  for (const WaitingTask &Task : m_Tasks)
    Earliest = std::min(Earliest, Task.m_Deadline);
  return Earliest;
}

} // namespace cyclamencroft
