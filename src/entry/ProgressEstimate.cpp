// Task time is summed at each change of the number of outstanding tasks.
#include "entry/ProgressEstimate.h"

namespace cyclamencroft {

Duration ProgressEstimate::taskTime(TimePoint Now) const {
  return m_TaskTime + (Now - m_CountedTo) * m_Outstanding;
}

void ProgressEstimate::taskSent(TimePoint Now) {
  m_TaskTime = taskTime(Now);
  m_CountedTo = Now;
  ++m_Outstanding;
}

void ProgressEstimate::taskLeft(TimePoint Now) {
  m_TaskTime = taskTime(Now);
  m_CountedTo = Now;
  if (m_Outstanding > 0)
    --m_Outstanding;
  if (m_Outstanding == 0)
    m_TaskTime = Duration::zero();
}

void ProgressEstimate::taskFinished(TimePoint Now) {
  taskLeft(Now);
  m_TaskTime = Duration::zero();
}

double ProgressEstimate::overdueTasks(TimePoint Now, Duration Usual) const {
  if (Usual.count() <= 0)
    return 0;
  return static_cast<double>(taskTime(Now).count()) /
         static_cast<double>(Usual.count());
}

} // namespace cyclamencroft
