// Admission of new jobs. A job is refused before any of its tasks is started,
// so that the outcome "not run" is exact.
#include "jobs/JobCoreImpl.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Bounds the memory of an entry: a job takes up to 16 KB with its
/// specification.
constexpr std::size_t MaxJobs = 2000;

/// Retry-After when no better estimate is available.
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

std::string cores(std::uint64_t MilliCores) {
  return std::to_string(MilliCores / MilliCoresPerCore);
}

WorkAmount waitingWork(const JobRecord &Job) {
  WorkAmount Work = 0;
  for (std::size_t Number = 0; Number < Job.m_Steps.size(); ++Number) {
    const StepDeclaration &Step = Job.m_Declaration.m_Steps[Number];
    Work += WorkAmount(Job.m_Steps[Number].m_Waiting) *
            Step.m_Need.m_MilliCores *
            static_cast<WorkAmount>(Step.m_Estimate.count());
  }
  return Work;
}

std::uint64_t waitingMilliCores(const JobRecord &Job) {
  std::uint64_t MilliCores = 0;
  for (std::size_t Number = 0; Number < Job.m_Steps.size(); ++Number)
    MilliCores += std::uint64_t{Job.m_Steps[Number].m_Waiting} *
                  Job.m_Declaration.m_Steps[Number].m_Need.m_MilliCores;
  return MilliCores;
}

} // namespace

void JobCore::Impl::onEvent(const JobOffered &Event) {
  ++m_Counters.m_JobsOffered;
  if (joinKnownJob(Event))
    return;
  const QueuePolicy &Policy = Event.m_Queue->m_Policy;
  const JobTimes Times = timesOf(
      m_Now, longestChain(Event.m_Job.m_Steps), Policy, Event.m_CallerTimeout,
      m_Repeats.waitedBefore(Policy.m_Name, Policy.m_Timeout,
                             Event.m_CallerTimeout));
  if (const std::optional<Refusal> Cause = refusalFor(Event, Times))
    return refuse(Event, *Cause);
  accept(Event, Times);
}

/// Handles a repeated offer: a caller whose connection broke sends the job
/// again. Returns false if the job has to be admitted as a new one.
bool JobCore::Impl::joinKnownJob(const JobOffered &Event) {
  const JobId &Id = Event.m_Job.m_Id;
  const auto Known = m_JobById.find(Id);
  if (Known != m_JobById.end()) {
    m_Jobs[Known->second].m_Callers.push_back(Event.m_Caller);
    m_JobByCaller.emplace(Event.m_Caller, Known->second);
    log("job-repeated", {{"job", toHex(Id)}, {"state", "known"}});
    return true;
  }
  const auto Finished = m_FinishedById.find(Id);
  if (Finished == m_FinishedById.end())
    return false;
  const JobOutcome Outcome = Finished->second.m_Outcome;
  if (!isFinal(Outcome))
    return false;
  log("job-repeated",
      {{"job", toHex(Id)}, {"state", std::string(toString(Outcome))}});
  sendAnswer(Event.m_Caller, Id, Outcome, "", {});
  return true;
}

std::optional<JobCore::Impl::Refusal>
JobCore::Impl::refusalFor(const JobOffered &Event, const JobTimes &Times) {
  const QueuePolicy &Policy = Event.m_Queue->m_Policy;
  if (!Event.m_Job.m_UnsupportedFeature.empty())
    return Refusal{"unsupported: " + Event.m_Job.m_UnsupportedFeature, {}};
  if (!Event.m_Queue->m_UnsupportedFeature.empty())
    return Refusal{"unsupported: " + Event.m_Queue->m_UnsupportedFeature, {}};
  if (m_Draining)
    return Refusal{"the entry shuts down", DefaultRetryAfter};
  if (m_Jobs.size() >= MaxJobs)
    return Refusal{"the entry has reached its maximum number of jobs",
                   retryAfter()};
  bool AwaitsEndpoint = false;
  for (const StepDeclaration &Step : Event.m_Job.m_Steps)
    switch (Placement::fit(m_Rows, Policy.m_Service, Step)) {
    case Fit::Fits:
      break;
    case Fit::TooLarge:
      return Refusal{"no endpoint can hold a task", {}};
    case Fit::Evacuated:
      // Agents of other domains may still connect.
      if (m_Now >= m_DiscoveryEndsAt)
        return Refusal{EvacuatedReason, DefaultRetryAfter};
      AwaitsEndpoint = true;
      break;
    case Fit::NoEndpoint:
      if (m_Now >= m_DiscoveryEndsAt)
        return Refusal{"no endpoint of the service is known",
                       DefaultRetryAfter};
      AwaitsEndpoint = true;
    }
  // No endpoint of the service has connected yet, so the wait can't be
  // forecast.
  if (AwaitsEndpoint)
    return std::nullopt;
  const JobOrderKey OrderKey = orderKeyOf(Times, Policy, m_Arrivals);
  expireWaits();
  const Duration Wait = expectedWait(OrderKey, Policy.m_Service);
  const Duration Longest = longestWait(Event, Times);
  if (Wait > Longest)
    return Refusal{"the expected wait of " + milliseconds(Wait) +
                       " ms exceeds the longest allowed wait of " +
                       milliseconds(Longest) + " ms",
                   retryAfter()};
  return std::nullopt;
}

/// A job that is late from the start gets the capacity that others leave. Jobs
/// that arrive later and can be on time come before it, so its forecast wait is
/// doubled.
Duration JobCore::Impl::longestWait(const JobOffered &Event,
                                    const JobTimes &Times) const {
  if (Times.m_LatestStart >= m_Now)
    return Times.m_LatestStart - m_Now;
  constexpr int LateWaitFactor = 2;
  const Duration Useful =
      Times.m_Deadline - m_Now - longestChain(Event.m_Job.m_Steps);
  return std::max(Duration{}, Useful / LateWaitFactor);
}

/// Work that fits into the free capacity starts as soon as starts are allowed;
/// work beyond it has to wait until other runs end.
Duration JobCore::Impl::expectedWait(const JobOrderKey &OrderKey,
                                     std::string_view Service) {
  const Duration Pause = std::max(Duration{}, m_StartsResumeAt - m_Now);
  const QueuedWork Ahead = workBefore(OrderKey);
  if (Ahead.m_MilliCores == 0)
    return Pause;
  const CapacitySummary Capacity = Placement::summarize(m_Rows, Service);
  if (Ahead.m_MilliCores <= Capacity.m_FreeMilliCores)
    return Pause;
  return Pause +
         m_Forecast.waitFor(m_Now, Ahead.m_Amount, reusableMilliCores());
}

JobCore::Impl::QueuedWork
JobCore::Impl::workBefore(const JobOrderKey &OrderKey) const {
  QueuedWork Work;
  for (const auto &[Other, Index] : m_Waiting) {
    if (!(Other < OrderKey))
      break;
    Work.m_MilliCores += waitingMilliCores(m_Jobs[Index]);
    Work.m_Amount += waitingWork(m_Jobs[Index]);
  }
  return Work;
}

void JobCore::Impl::accept(const JobOffered &Event, const JobTimes &Times) {
  const JobId &Id = Event.m_Job.m_Id;
  const JobIndex Index = m_Jobs.add();
  JobRecord &Job = m_Jobs[Index];
  Job = JobRecord{};
  Job.m_Declaration = Event.m_Job;
  Job.m_Queue = Event.m_Queue;
  Job.m_Callers.push_back(Event.m_Caller);
  Job.m_Times = Times;
  Job.m_OrderKey = orderKeyOf(Times, Event.m_Queue->m_Policy, ++m_Arrivals);
  std::uint32_t LastRun = 0;
  const auto Finished = m_FinishedById.find(Id);
  if (Finished != m_FinishedById.end())
    LastRun = Finished->second.m_LastRun;
  TaskRecord Fresh;
  Fresh.m_LastRun = LastRun;
  for (const StepDeclaration &Step : Job.m_Declaration.m_Steps)
    Job.m_Steps.push_back(
        {std::vector<TaskRecord>(Step.m_Count, Fresh), 0, Step.m_Count});
  m_JobById.emplace(Id, Index);
  m_JobByCaller.emplace(Event.m_Caller, Index);
  enqueue(Index);
  armTimer(Index);
}

void JobCore::Impl::refuse(const JobOffered &Event, const Refusal &Cause) {
  ++m_Counters.m_JobsNotRun;
  const CapacitySummary Capacity =
      Placement::summarize(m_Rows, Event.m_Queue->m_Policy.m_Service);
  log("job-refused", {{"job", toHex(Event.m_Job.m_Id)},
                      {"queue", Event.m_Queue->m_Policy.m_Name},
                      {"reason", Cause.m_Reason},
                      {"waiting-jobs", std::to_string(m_Waiting.size())},
                      {"endpoints", std::to_string(Capacity.m_Endpoints)},
                      {"cores", cores(Capacity.m_MilliCores)},
                      {"free-cores", cores(Capacity.m_FreeMilliCores)},
                      {"retry-after-ms", milliseconds(Cause.m_RetryAfter)}});
  sendAnswer(Event.m_Caller, Event.m_Job.m_Id, JobOutcome::NotRun,
             Cause.m_Reason, Cause.m_RetryAfter);
}

Duration JobCore::Impl::retryAfter() {
  if (m_Now < m_DiscoveryEndsAt)
    return DefaultRetryAfter;
  WorkAmount All = 0;
  for (const auto &[OrderKey, Index] : m_Waiting)
    All += waitingWork(m_Jobs[Index]);
  return std::max(DefaultRetryAfter,
                  m_Forecast.waitFor(m_Now, All, reusableMilliCores()));
}

} // namespace cyclamencroft
