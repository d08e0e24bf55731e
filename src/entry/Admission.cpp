// Computes expected waits from queue lengths, slots and the mean run time.
#include "entry/Admission.h"

#include "entry/ServiceQueue.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Number of tasks that start before a new request: the waiting requests and
/// the tasks of jobs whose turns come in between.
std::uint64_t tasksAheadOfRequest(const ServiceLoad &Load) {
  const std::uint64_t Requests = Load.m_WaitingRequests;
  const std::uint64_t JobTurns = Requests / (JobTurnInterval - 1);
  return Requests + std::min<std::uint64_t>(JobTurns, Load.m_WaitingJobTasks);
}

/// Number of tasks that start before the last task of a new job, its own
/// included. Jobs take turns, so at most as many tasks of each other job start
/// first as the new job has itself. Requests take most of the turns.
std::uint64_t tasksAheadOfJob(std::uint64_t Tasks, const ServiceLoad &Load) {
  const std::uint64_t JobTasks =
      Tasks + std::min<std::uint64_t>(Load.m_WaitingJobTasks,
                                      Tasks * Load.m_WaitingJobs);
  const std::uint64_t RequestTurns = JobTasks * (JobTurnInterval - 1);
  return JobTasks +
         std::min<std::uint64_t>(RequestTurns, Load.m_WaitingRequests);
}

} // namespace

Duration expectedWait(SubmissionKind Kind, std::uint32_t Tasks,
                      const ServiceLoad &Load) {
  if (Load.m_WaitingRequests + Load.m_WaitingJobTasks == 0)
    return Duration{};
  const std::uint64_t Ahead = Kind == SubmissionKind::Request
                                  ? tasksAheadOfRequest(Load)
                                  : tasksAheadOfJob(Tasks, Load);
  const std::uint32_t Share =
      std::max(1U, Load.m_Slots / std::max(1U, Load.m_Entries));
  return Duration(Load.m_RunTime.count() * static_cast<std::int64_t>(Ahead) /
                  static_cast<std::int64_t>(Share));
}

} // namespace cyclamencroft
