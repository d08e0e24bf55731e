// Objective and latest start of a job.
#include "jobs/JobOrder.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Share of the slack, by a job's estimates, that the job may spend waiting.
/// The rest covers estimation errors: run times are off by nearly half in
/// either direction.
constexpr double UsableSlackShare = 0.5;

/// Waiting time that one step of priority is worth. Longer than short jobs can
/// wait, so that priority decides between short jobs of different queues; far
/// shorter than a caller waits, so that no queue is starved.
constexpr Duration PriorityStep = std::chrono::milliseconds(100);

/// Priorities beyond this value are treated as equal to it.
constexpr std::uint32_t LowestPriority = 50;

} // namespace

JobOrderKey orderKeyOf(const JobTimes &Times, const QueuePolicy &Policy,
                       std::uint64_t Arrival) {
  const std::uint32_t Steps = std::min(Policy.m_Priority, LowestPriority);
  const bool Late = Times.m_LatestStart < Times.m_ArrivedAt;
  return {Late, Times.m_LatestStart + Steps * PriorityStep, Arrival};
}

JobTimes timesOf(TimePoint Now, Duration Chain, const QueuePolicy &Policy,
                 Duration CallerTimeout, Duration WaitedBefore) {
  const auto Stretched = Duration(static_cast<Duration::rep>(
      static_cast<double>(Chain.count()) * Policy.m_Stretch));
  JobTimes Times;
  Times.m_ArrivedAt = Now;
  Times.m_Objective = Now - WaitedBefore + Stretched + Policy.m_TargetLatency;
  const Duration Slack = Times.m_Objective - Chain - Now;
  Times.m_LatestStart =
      Now + Duration(static_cast<Duration::rep>(
                static_cast<double>(Slack.count()) * UsableSlackShare));
  Times.m_Deadline = Now + CallerTimeout;
  return Times;
}

} // namespace cyclamencroft
