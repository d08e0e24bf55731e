// Compares the tasks that an agent should have finished by now with those that
// it has: a straggler is seen before its first slow task ends.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class ProgressEstimate {
public:
  /// Own tasks outstanding at the agent change by these calls.
  void taskSent(TimePoint Now);
  void taskLeft(TimePoint Now);

  /// A task ended by itself, so the agent makes progress.
  void taskFinished(TimePoint Now);

  /// Own tasks sent and not yet ended or taken back.
  std::uint32_t outstanding() const { return m_Outstanding; }

  /// Tasks that an agent of usual speed would have finished since its last
  /// finished one. \p Usual is the service's mean run time.
  double overdueTasks(TimePoint Now, Duration Usual) const;

private:
  /// Time that own tasks have run since the last finished one, up to
  /// m_CountedTo, added over all tasks.
  Duration taskTime(TimePoint Now) const;

  Duration m_TaskTime{};
  TimePoint m_CountedTo{};
  std::uint32_t m_Outstanding = 0;
};

} // namespace cyclamencroft
