// Events and timers of the scheduler.
#include "jobs/JobCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Agents connect to an entry that has just started within this time.
constexpr Duration EndpointDiscoveryTime = std::chrono::seconds(1);

/// Agents are checked every 50 ms, so a longer gap between events means that
/// the process was suspended. Below the 1.3 s after which callers send again.
constexpr Duration SuspensionThreshold = std::chrono::milliseconds(500);

/// After a suspension, an entry starts no tasks for this long, so that it first
/// processes the disconnects of callers whose jobs may run elsewhere by now.
constexpr Duration StartDelayAfterSuspension = std::chrono::milliseconds(100);

/// Interval of the checks of agents: leases, silence, stalled runs.
constexpr Duration CheckInterval = std::chrono::milliseconds(50);

} // namespace

std::string_view toString(JobOutcome Outcome) {
  switch (Outcome) {
  case JobOutcome::Completed:
    return "completed";
  case JobOutcome::Failed:
    return "failed";
  case JobOutcome::NotRun:
    return "not-run";
  case JobOutcome::GivenUp:
    return "given-up";
  case JobOutcome::Cancelled:
    return "cancelled";
  case JobOutcome::Abandoned:
    return "abandoned";
  case JobOutcome::Unknown:
    return "unknown";
  }
  return "invalid";
}

bool isFinal(JobOutcome Outcome) {
  return Outcome == JobOutcome::Completed || Outcome == JobOutcome::Failed ||
         Outcome == JobOutcome::Cancelled;
}

JobCore::JobCore(JobCoreOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

JobCore::~JobCore() = default;

void JobCore::handle(TimePoint Now, const JobEvent &Event,
                     std::vector<JobCommand> &Commands) {
  m_Impl->handle(Now, Event, Commands);
}

TimePoint JobCore::nextWakeup() const { return m_Impl->nextWakeup(); }

JobCoreStatus JobCore::status() const { return m_Impl->status(); }

std::optional<JobState> JobCore::state(JobId Job) const {
  return m_Impl->state(Job);
}

std::uint64_t JobCore::waiting(std::string_view Queue) const {
  return m_Impl->waiting(Queue);
}

JobCore::Impl::Impl(JobCoreOptions Options)
    : m_Options(std::move(Options)), m_CopyDelays(m_Options.m_Seed),
      m_Placement(m_Options.m_Seed) {}

void JobCore::Impl::handle(TimePoint Now, const JobEvent &Event,
                           std::vector<JobCommand> &Commands) {
  m_Now = Now;
  m_Commands = &Commands;
  m_DiscoveryEndsAt =
      std::min(m_DiscoveryEndsAt, m_Now + EndpointDiscoveryTime);
  detectSuspension();
  std::visit([this](const auto &E) { onEvent(E); }, Event);
  finishEvent();
  m_Commands = nullptr;
}

void JobCore::Impl::detectSuspension() {
  const TimePoint Before = std::exchange(m_LastEventAt, m_Now);
  if (m_Rows.empty() || m_Now <= Before || m_Now - Before < SuspensionThreshold)
    return;
  m_StartsResumeAt = m_Now + StartDelayAfterSuspension;
  log("suspended", {{"pause-us", std::to_string((m_Now - Before).count())},
                    {"jobs", std::to_string(m_Jobs.size())}});
}

TimePoint JobCore::Impl::nextWakeup() const {
  const TimePoint Check = m_Rows.empty() ? TimePoint::max() : m_NextCheck;
  const TimePoint Starts = m_DispatchNeeded
                               ? std::max(m_StartsResumeAt, m_LastEventAt)
                               : TimePoint::max();
  return std::min({m_Timers.nextDue(), Check, m_NextWaitExpiry, Starts});
}

JobCoreStatus JobCore::Impl::status() const {
  JobCoreStatus Status = m_Counters;
  Status.m_Jobs = m_Jobs.size();
  Status.m_WaitingJobs = m_Waiting.size();
  Status.m_EvacuatedDomains = m_Evacuations.m_Domains.size();
  for (const RunnerRow &Row : m_Rows) {
    Status.m_Agents += Row.m_Link ? 1 : 0;
    Status.m_ActiveEndpoints += Row.takesRuns() ? 1 : 0;
    Status.m_EvacuatedEndpoints += Row.m_Link && Row.isEvacuated() ? 1 : 0;
    Status.m_Runs += Row.m_Runs.size();
  }
  return Status;
}

std::optional<JobState> JobCore::Impl::state(JobId Job) const {
  const auto Known = m_JobById.find(Job);
  if (Known != m_JobById.end())
    return m_Jobs[Known->second].m_Starts > 0 ? JobState::Running
                                              : JobState::Queued;
  const auto Finished = m_FinishedById.find(Job);
  if (Finished == m_FinishedById.end())
    return std::nullopt;
  switch (Finished->second.m_Outcome) {
  case JobOutcome::Completed:
    return JobState::Completed;
  case JobOutcome::Failed:
    return JobState::Failed;
  case JobOutcome::Cancelled:
    return JobState::Cancelled;
  default:
    return std::nullopt;
  }
}

std::uint64_t JobCore::Impl::waiting(std::string_view Queue) const {
  std::uint64_t Count = 0;
  for (const auto &[OrderKey, Index] : m_Waiting) {
    const JobRecord &Job = m_Jobs[Index];
    if (Job.m_Starts == 0 && Job.m_Queue->m_Policy.m_Name == Queue)
      ++Count;
  }
  return Count;
}

void JobCore::Impl::onEvent(const JobCancelled &Event) {
  const auto Found = m_JobById.find(Event.m_Job);
  if (Found != m_JobById.end())
    answer(Found->second, JobOutcome::Cancelled, "cancelled by a caller");
  else if (!cancelFinished(Event.m_Job))
    return sendAnswer(Event.m_Caller, Event.m_Job, JobOutcome::Unknown,
                      "no such job", {});
  sendAnswer(Event.m_Caller, Event.m_Job, JobOutcome::Cancelled, "", {});
}

void JobCore::Impl::onEvent(const CallerDisconnected &Event) {
  const auto Found = m_JobByCaller.find(Event.m_Caller);
  if (Found == m_JobByCaller.end())
    return;
  const JobIndex Index = Found->second;
  m_JobByCaller.erase(Found);
  std::vector<CallerId> &Callers = m_Jobs[Index].m_Callers;
  Callers.erase(std::find(Callers.begin(), Callers.end(), Event.m_Caller));
  if (Callers.empty())
    answer(Index, JobOutcome::Abandoned, "the caller's connection closed");
}

void JobCore::Impl::onEvent(const ShutdownRequested &) {
  m_Draining = true;
  log("shutdown-requested", {{"jobs", std::to_string(m_Jobs.size())}});
}

void JobCore::Impl::onEvent(const Tick &) {
  while (const std::optional<Timer> Due = m_Timers.takeDue(m_Now)) {
    const JobIndex Index = Due->m_Target;
    m_Jobs[Index].m_Timer = NoTimer;
    // Tasks that waited when the timer was set may have been started.
    if (m_Now < latestUsefulStart(m_Jobs[Index]))
      armTimer(Index);
    else
      giveUp(Index, "the job can't end before its deadline");
  }
  expireWaits();
  if (m_Now < m_NextCheck)
    return;
  m_NextCheck = m_Now + CheckInterval;
  checkRunners();
}

void JobCore::Impl::finishEvent() {
  if (m_Now >= m_StartsResumeAt && std::exchange(m_DispatchNeeded, false))
    dispatch();
  if (!m_Draining || m_Drained || m_Jobs.size() > 0)
    return;
  m_Drained = true;
  for (RunnerRow &Row : m_Rows)
    send(Row, Goodbye{"entry shuts down"});
  m_Commands->emplace_back(Drained{});
}

void JobCore::Impl::log(std::string_view Event,
                        std::initializer_list<LogField> Fields) {
  m_Commands->emplace_back(LogDecision{Event, std::vector<LogField>(Fields)});
}

} // namespace cyclamencroft
