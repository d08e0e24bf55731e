// Ends of runs: done, failed, or to be run again.
#include "jobs/JobCoreImpl.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Increment of the run number after an endpoint has received a run of the task
/// that this entry did not start: more than the attempts that another entry
/// makes.
constexpr std::uint32_t RunNumberStep = 16;

} // namespace

void JobCore::Impl::onMessage(RunnerIndex Index, const TaskEnded &Ended) {
  updateLoad(m_Rows[Index], Ended.m_Load);
  runEnded(Index, Ended);
}

void JobCore::Impl::runEnded(RunnerIndex From, const TaskEnded &Ended) {
  RunnerRow &Row = m_Rows[From];
  const auto Found = Row.m_Runs.find(Ended.m_Run);
  if (Found == Row.m_Runs.end())
    return;
  const OwnRun Run = Found->second;
  Row.m_Runs.erase(Found);
  m_MilliCoresInUse -= Run.m_Need.m_MilliCores;
  m_DispatchNeeded = true;
  if (Run.m_Job == NoIndex)
    return;
  JobRecord &Job = m_Jobs[Run.m_Job];
  --Job.m_RunsInFlight;
  const TaskName &Name = Ended.m_Run.m_Task;
  TaskRecord &Task = Job.m_Steps[Name.m_Step].m_Tasks[Name.m_Index];
  const bool LostRace = Ended.m_End == RunEnd::NotStarted &&
                        Ended.m_Refusal == StartRefusal::NoCapacity;
  Job.m_LostRaces += LostRace ? 1 : 0;
  // Lost races are frequent under overload; the job-ended event counts them.
  if (Ended.m_End != RunEnd::Done && !LostRace)
    log("run-not-done", {{"run", describe(Ended.m_Run)},
                         {"agent", Row.m_AgentId},
                         {"end", std::string(toString(Ended.m_End))},
                         {"reason", std::string(toString(Ended.m_Refusal))}});
  if (Ended.m_End != RunEnd::NotStarted)
    Job.m_MayHaveRun = true;
  switch (Ended.m_End) {
  case RunEnd::Done:
    Job.m_LongestRun = std::max(Job.m_LongestRun, Ended.m_RunTime);
    return taskDone(Run.m_Job, Name);
  case RunEnd::Failed:
    return taskFailed(Run.m_Job, Name, From);
  case RunEnd::Stopped:
  case RunEnd::LeaseExpired:
  case RunEnd::Lost:
    Task.m_Avoid = From;
    break;
  case RunEnd::NotStarted:
    ++m_Counters.m_Refusals;
    if (Ended.m_Refusal == StartRefusal::Superseded)
      Task.m_LastRun += RunNumberStep;
    // After OtherEndpoint, the agent has another endpoint than the refusing
    // one.
    if (!LostRace && Ended.m_Refusal != StartRefusal::OtherEndpoint)
      Task.m_Avoid = From;
    break;
  }
  requeueTask(Run.m_Job, Name);
}

void JobCore::Impl::taskDone(JobIndex Index, const TaskName &Name) {
  JobRecord &Job = m_Jobs[Index];
  StepRecord &Step = Job.m_Steps[Name.m_Step];
  Step.m_Tasks[Name.m_Index].m_State = TaskState::Done;
  if (++Step.m_Done < Step.m_Tasks.size())
    return;
  if (++Job.m_StepsDone == Job.m_Steps.size())
    return answer(Index, JobOutcome::Completed, "");
  // Later steps may be ready now.
  enqueue(Index);
}

void JobCore::Impl::taskFailed(JobIndex Index, const TaskName &Name,
                               RunnerIndex At) {
  JobRecord &Job = m_Jobs[Index];
  TaskRecord &Task = Job.m_Steps[Name.m_Step].m_Tasks[Name.m_Index];
  Task.m_Avoid = At;
  if (++Task.m_FailedRuns >= Job.m_Queue->m_Policy.m_MaxAttempts)
    return answer(Index, JobOutcome::Failed,
                  "task " + std::to_string(Name.m_Index) + " of step " +
                      std::to_string(Name.m_Step) + " failed " +
                      std::to_string(Task.m_FailedRuns) + " times");
  requeueTask(Index, Name);
}

void JobCore::Impl::requeueTask(JobIndex Index, const TaskName &Name) {
  JobRecord &Job = m_Jobs[Index];
  StepRecord &Step = Job.m_Steps[Name.m_Step];
  Step.m_Tasks[Name.m_Index].m_State = TaskState::Waiting;
  ++Step.m_Waiting;
  ++Job.m_Retries;
  ++m_Counters.m_Retries;
  enqueue(Index);
  armTimer(Index);
}

/// Ends, as lost, all runs of an agent at which none can be in progress any
/// more.
void JobCore::Impl::endRunsAsLost(RunnerIndex Index, std::string_view Cause) {
  RunnerRow &Row = m_Rows[Index];
  Row.m_LeasesExpiredAt = TimePoint::max();
  Row.m_AwaitsEarlierRunsEnded = false;
  if (!Row.m_Runs.empty())
    log("runs-settled", {{"agent", Row.m_AgentId},
                         {"runs", std::to_string(Row.m_Runs.size())},
                         {"reason", std::string(Cause)}});
  while (!m_Rows[Index].m_Runs.empty()) {
    TaskEnded Lost;
    Lost.m_Run = m_Rows[Index].m_Runs.begin()->first;
    Lost.m_End = RunEnd::Lost;
    runEnded(Index, Lost);
  }
}

} // namespace cyclamencroft
