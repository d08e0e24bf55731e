// Progress estimate: the task time is updated at each change of the number of
// outstanding tasks.
#include "entry/ProgressEstimate.h"

namespace cyclamencroft {

Duration ProgressEstimate::taskTime(TimePoint Now) const {
  return m_TaskTime + (Now - m_TaskTimeUpdatedAt) * m_Outstanding;
}

void ProgressEstimate::taskSent(TimePoint Now) {
  m_TaskTime = taskTime(Now);
  m_TaskTimeUpdatedAt = Now;
  ++m_Outstanding;
}

void ProgressEstimate::taskRemoved(TimePoint Now) {
  m_TaskTime = taskTime(Now);
  m_TaskTimeUpdatedAt = Now;
  if (m_Outstanding > 0)
    --m_Outstanding;
  if (m_Outstanding == 0)
    m_TaskTime = Duration::zero();
}

void ProgressEstimate::taskFinished(TimePoint Now) {
  taskRemoved(Now);
  m_TaskTime = Duration::zero();
}

double ProgressEstimate::overdueTasks(TimePoint Now,
                                      Duration MeanRunTime) const {
  if (MeanRunTime.count() <= 0)
    return 0;
  return static_cast<double>(taskTime(Now).count()) /
         static_cast<double>(MeanRunTime.count());
}

} // namespace cyclamencroft
