// Answers to callers, and the removal of a job once it is answered.
#include "jobs/JobCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// How long a finished job is kept: callers that lost their connection send a
/// job again within a few seconds. A later repetition is taken for a new job.
constexpr Duration FinishedJobRetention = std::chrono::seconds(10);

} // namespace

void JobCore::Impl::answer(JobIndex Index, JobOutcome Outcome,
                           std::string Reason) {
  JobRecord &Job = m_Jobs[Index];
  const JobId Id = Job.m_Declaration.m_Id;
  switch (Outcome) {
  case JobOutcome::Completed:
    ++m_Counters.m_JobsCompleted;
    break;
  case JobOutcome::Failed:
    ++m_Counters.m_JobsFailed;
    break;
  case JobOutcome::NotRun:
    ++m_Counters.m_JobsNotRun;
    break;
  case JobOutcome::GivenUp:
    ++m_Counters.m_JobsGivenUp;
    break;
  case JobOutcome::Cancelled:
  case JobOutcome::Abandoned:
  case JobOutcome::Unknown:
    ++m_Counters.m_JobsCancelled;
    break;
  }
  const Duration Waited = Job.m_Starts > 0
                              ? Job.m_FirstStart - Job.m_Times.m_ArrivedAt
                              : m_Now - Job.m_Times.m_ArrivedAt;
  log("job-ended",
      {{"job", toHex(Id)},
       {"queue", Job.m_Queue->m_Policy.m_Name},
       {"outcome", std::string(toString(Outcome))},
       {"reason", Reason},
       {"waited-ms", milliseconds(Waited)},
       {"last-start-ms",
        milliseconds(Job.m_Starts > 0
                         ? Job.m_LastStart - Job.m_Times.m_ArrivedAt
                         : Duration{})},
       {"longest-run-ms", milliseconds(Job.m_LongestRun)},
       {"took-ms", milliseconds(m_Now - Job.m_Times.m_ArrivedAt)},
       {"objective-ms",
        milliseconds(Job.m_Times.m_Objective - Job.m_Times.m_ArrivedAt)},
       {"deadline-ms",
        milliseconds(Job.m_Times.m_Deadline - Job.m_Times.m_ArrivedAt)},
       {"starts", std::to_string(Job.m_Starts)},
       {"retries", std::to_string(Job.m_Retries)},
       {"lost-races", std::to_string(Job.m_LostRaces)},
       {"runs-out", std::to_string(Job.m_RunsInFlight)}});
  const Duration RetryDelay =
      Outcome == JobOutcome::NotRun ? retryAfter() : Duration{};
  for (const CallerId Caller : Job.m_Callers) {
    m_JobByCaller.erase(Caller);
    sendAnswer(Caller, Id, Outcome, Reason, RetryDelay);
  }
  dequeue(Index);
  stopRuns(Index);
  m_Timers.cancel(Job.m_Timer);
  recordFinished(Job, Outcome);
  m_JobById.erase(Id);
  m_Jobs.remove(Index);
}

void JobCore::Impl::giveUp(JobIndex Index, std::string Reason) {
  const bool Begun = m_Jobs[Index].hasBegun();
  answer(Index, Begun ? JobOutcome::GivenUp : JobOutcome::NotRun,
         std::move(Reason));
}

void JobCore::Impl::stopRuns(JobIndex Index) {
  const JobRecord &Job = m_Jobs[Index];
  if (Job.m_RunsInFlight == 0)
    return;
  const JobId Id = Job.m_Declaration.m_Id;
  const RunName First{TaskName{Id, 0, 0}, 0};
  for (RunnerRow &Row : m_Rows) {
    bool Found = false;
    for (auto Run = Row.m_Runs.lower_bound(First);
         Run != Row.m_Runs.end() && Run->first.m_Task.m_Job == Id; ++Run) {
      Run->second.m_Job = NoIndex;
      Found = true;
    }
    if (Found)
      send(Row, StopJob{Id});
  }
}

void JobCore::Impl::recordFinished(const JobRecord &Job, JobOutcome Outcome) {
  FinishedJob Finished;
  Finished.m_Job = Job.m_Declaration.m_Id;
  Finished.m_Outcome = Outcome;
  Finished.m_FinishedAt = m_Now;
  for (const StepRecord &Step : Job.m_Steps)
    for (const TaskRecord &Task : Step.m_Tasks)
      Finished.m_LastRun = std::max(Finished.m_LastRun, Task.m_LastRun);
  remember(Finished);
}

/// Cancels a job that has ended in a way after which a repeated offer would run
/// it again. Returns false if there is no such job.
bool JobCore::Impl::cancelFinished(const JobId &Id) {
  const auto Found = m_FinishedById.find(Id);
  if (Found == m_FinishedById.end() || isFinal(Found->second.m_Outcome))
    return false;
  FinishedJob Cancelled = Found->second;
  log("finished-job-cancelled",
      {{"job", toHex(Id)},
       {"outcome", std::string(toString(Cancelled.m_Outcome))},
       {"age-ms", milliseconds(m_Now - Cancelled.m_FinishedAt)}});
  Cancelled.m_Outcome = JobOutcome::Cancelled;
  Cancelled.m_FinishedAt = m_Now;
  remember(Cancelled);
  return true;
}

void JobCore::Impl::remember(const FinishedJob &Finished) {
  m_FinishedById[Finished.m_Job] = Finished;
  m_Finished.push_back(Finished);
  while (m_Finished.front().m_FinishedAt + FinishedJobRetention < m_Now) {
    const auto Known = m_FinishedById.find(m_Finished.front().m_Job);
    // The job may have been offered again and have ended later, or cancelled.
    if (Known != m_FinishedById.end() &&
        Known->second.m_FinishedAt == m_Finished.front().m_FinishedAt)
      m_FinishedById.erase(Known);
    m_Finished.pop_front();
  }
}

void JobCore::Impl::sendAnswer(CallerId Caller, JobId Job, JobOutcome Outcome,
                               std::string Reason, Duration RetryAfter) {
  m_Commands->emplace_back(
      JobAnswer{Caller, Job, Outcome, std::move(Reason), RetryAfter});
}

} // namespace cyclamencroft
