// Objective and latest start of a job.
#include "jobs/JobOrder.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Part of the time that a job could wait by its estimates. The rest is for
/// their errors: run times are off by nearly half either way.
constexpr double SafePartOfSlack = 0.5;

/// What one step of priority is worth in waiting time. Above the time for which
/// short jobs can wait, so that they come first in their priority; far below
/// what a caller waits, so that no queue is shut out.
constexpr Duration PriorityStep = std::chrono::milliseconds(100);

/// Beyond this, priorities are all the same.
constexpr std::uint32_t LeastPriority = 50;

} // namespace

JobPlace placeOf(const JobTimes &Times, const QueuePolicy &Policy,
                 std::uint64_t Arrival) {
  const std::uint32_t Steps = std::min(Policy.m_Priority, LeastPriority);
  return {false, Times.m_LatestStart + Steps * PriorityStep, Arrival};
}

JobTimes timesOf(TimePoint Now, Duration Chain, const QueuePolicy &Policy,
                 Duration Patience) {
  const auto Stretched = Duration(static_cast<Duration::rep>(
      static_cast<double>(Chain.count()) * Policy.m_Stretch));
  JobTimes Times;
  Times.m_ArrivedAt = Now;
  Times.m_Objective = Now + Stretched + Policy.m_TargetLatency;
  const Duration Slack = Times.m_Objective - Chain - Now;
  Times.m_LatestStart =
      Now + Duration(static_cast<Duration::rep>(
                static_cast<double>(Slack.count()) * SafePartOfSlack));
  Times.m_Deadline = Now + Patience;
  return Times;
}

} // namespace cyclamencroft
