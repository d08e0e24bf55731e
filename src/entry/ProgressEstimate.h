// Compares the tasks that an agent should have finished by now with those that
// it has finished, which detects a straggler before its first slow task ends.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class ProgressEstimate {
public:
  /// Records that a task of this entry was sent to the agent.
  void taskSent(TimePoint Now);
  /// Records that the agent refused a task or that the entry abandoned it.
  void taskRemoved(TimePoint Now);

  /// Records a task that ended with a result, so the agent makes progress.
  void taskFinished(TimePoint Now);

  /// Own tasks sent and not yet finished or removed.
  std::uint32_t outstanding() const { return m_Outstanding; }

  /// Number of tasks that an agent of average speed would have finished since
  /// the last finished task. \p MeanRunTime is that of the service; 0 when it
  /// is not positive.
  double overdueTasks(TimePoint Now, Duration MeanRunTime) const;

private:
  /// Time that own tasks have run since the last finished one, summed over all
  /// tasks.
  Duration taskTime(TimePoint Now) const;

  /// Value of taskTime() at m_TaskTimeUpdatedAt.
  Duration m_TaskTime{};
  TimePoint m_TaskTimeUpdatedAt{};
  std::uint32_t m_Outstanding = 0;
};

} // namespace cyclamencroft
