// Admission control for new requests and jobs. A refusal precedes any dispatch,
// so its outcome is "not run".
#include "entry/Admission.h"
#include "entry/EntryCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Returns the sentence that the caller receives with a refusal.
std::string detailOf(RefusalReason Reason, const Arrival &New) {
  switch (Reason) {
  case RefusalReason::UnknownService:
    return "the configuration has no service " + New.m_Service;
  case RefusalReason::UnknownTeam:
    return "the configuration has no team " + New.m_Team;
  case RefusalReason::QuotaExceeded:
    return "the quota of team " + New.m_Team + " is used up";
  case RefusalReason::SizeFitsNoEndpoint:
    if (New.m_Tasks == 0 || New.m_Tasks > MaxTasksPerJob)
      return "a job has 1 to " + std::to_string(MaxTasksPerJob) + " tasks";
    return "no connected endpoint of the service has the declared size";
  case RefusalReason::RepeatedKey:
    return "the key or request id is in use or was used a short time ago";
  default:
    return "refused before the start: " + std::string(toString(Reason));
  }
}

} // namespace

void EntryCore::Impl::on(const RequestArrived &Event) {
  const Arrival New(Event);
  const RefusalReason Reason = admit(New);
  if (Reason != RefusalReason::None)
    return refuse(New, Reason);
  ++m_Counters.m_Requests;
  const SubmissionIndex Index = accept(New);
  Submission &Added = m_Submissions[Index];
  Added.m_Tasks.emplace_back();
  Added.m_Tasks.back().m_Body = Event.m_Body;
  Added.m_Waiting.push_back(0);
  m_Services[Added.m_Service].m_Queue.add(Index);
  markForDispatch(Added.m_Service);
}

void EntryCore::Impl::on(const JobSubmitted &Event) {
  const Arrival New(Event);
  const RefusalReason Reason = admit(New);
  if (Reason != RefusalReason::None)
    return refuse(New, Reason);
  ++m_Counters.m_Jobs;
  const SubmissionIndex Index = accept(New);
  Submission &Added = m_Submissions[Index];
  Added.m_Tasks.resize(New.m_Tasks);
  Added.m_Waiting.resize(New.m_Tasks);
  for (std::uint32_t Number = 0; Number < New.m_Tasks; ++Number) {
    Added.m_Tasks[Number].m_Body = Event.m_Tasks[Number];
    Added.m_Waiting[Number] = New.m_Tasks - 1 - Number;
  }
  m_Services[Added.m_Service].m_Queue.add(Index);
  markForDispatch(Added.m_Service);
}

RefusalReason EntryCore::Impl::admit(const Arrival &New) {
  RefusalReason Reason = checkServing(New);
  if (Reason != RefusalReason::None)
    return Reason;
  const Service &To = m_Services[findOrAddService(New.m_Service)];
  Reason = checkFit(To, New);
  if (Reason == RefusalReason::None)
    Reason = checkLoad(To, New);
  if (Reason == RefusalReason::None)
    Reason = takeKeyAndQuota(New);
  return Reason;
}

RefusalReason EntryCore::Impl::checkServing(const Arrival &New) const {
  if (m_Draining)
    return RefusalReason::ShuttingDown;
  if (!m_Config || m_Now >= m_Versions.overdueAt())
    return RefusalReason::NoConfiguration;
  if (!m_Preset->m_AdmitsWork)
    return RefusalReason::PresetRefuses;
  const Configuration &Config = m_Config->m_Configuration;
  if (Config.m_Services.count(New.m_Service) == 0)
    return RefusalReason::UnknownService;
  if (!New.m_Team.empty() && Config.m_Teams.count(New.m_Team) == 0)
    return RefusalReason::UnknownTeam;
  // Submissions are cancelled and looked up by id, so an id must be unique
  // among those in flight.
  if (m_Submissions.find(New.m_Request) != NoIndex)
    return RefusalReason::RepeatedKey;
  return RefusalReason::None;
}

RefusalReason EntryCore::Impl::checkFit(const Service &To,
                                        const Arrival &New) const {
  if (New.m_Tasks == 0 || New.m_Tasks > MaxTasksPerJob)
    return RefusalReason::SizeFitsNoEndpoint;
  if (m_Router.fitsAny(To.m_Name, New.m_Need))
    return RefusalReason::None;
  return m_Router.fitsAny(To.m_Name, Size{}) ? RefusalReason::SizeFitsNoEndpoint
                                             : RefusalReason::NoEndpoint;
}

RefusalReason EntryCore::Impl::checkLoad(const Service &To,
                                         const Arrival &New) const {
  const ServiceQueue &Queue = To.m_Queue;
  if (Queue.waitingTasks() + New.m_Tasks > m_Preset->m_QueueLimit)
    return RefusalReason::QueueFull;
  const Duration Limit = deadlineOf(To, New);
  if (Limit <= Duration{})
    return RefusalReason::DeadlinePassed;
  if (Queue.waitingTasks() == 0)
    return RefusalReason::None;
  ServiceLoad Load;
  Load.m_WaitingRequests = Queue.waitingRequests();
  Load.m_WaitingJobs = Queue.waitingJobs();
  Load.m_WaitingJobTasks = Queue.waitingJobTasks();
  Load.m_Slots = m_Router.slots(To.m_Name);
  Load.m_Entries = m_Entries;
  Load.m_RunTime = m_Router.meanRunTime(To.m_Name);
  const bool TooLate = expectedWait(New.m_Kind, New.m_Tasks, Load) > Limit;
  return TooLate ? RefusalReason::WaitPastDeadline : RefusalReason::None;
}

RefusalReason EntryCore::Impl::takeKeyAndQuota(const Arrival &New) {
  const std::uint64_t Key =
      New.m_Key.empty()
          ? 0
          : RequestKeys::hash(New.m_Service, New.m_Team, New.m_Key);
  if (Key != 0) {
    const RequestKeys::Claim Claim = m_Keys.claim(Key, m_Now);
    if (Claim == RequestKeys::Claim::Repeated)
      return RefusalReason::RepeatedKey;
    if (Claim == RequestKeys::Claim::TableFull)
      return RefusalReason::QueueFull;
  }
  if (New.m_Team.empty() || m_Quotas.tryTake(New.m_Team, New.m_Tasks, m_Now))
    return RefusalReason::None;
  if (Key != 0)
    m_Keys.erase(Key);
  return RefusalReason::QuotaExceeded;
}

Duration EntryCore::Impl::deadlineOf(const Service &To,
                                     const Arrival &New) const {
  if (New.m_Deadline == Duration{})
    return To.m_Config->m_DefaultDeadline;
  return std::min(New.m_Deadline, To.m_Config->m_MaxDeadline);
}

SubmissionIndex EntryCore::Impl::accept(const Arrival &New) {
  const SubmissionIndex Index = m_Submissions.add(New.m_Request, New.m_Caller);
  Submission &Added = m_Submissions[Index];
  Added.m_Kind = New.m_Kind;
  Added.m_Service = findOrAddService(New.m_Service);
  Added.m_Team = New.m_Team;
  Added.m_NonIdempotent = New.m_NonIdempotent;
  if (!New.m_Key.empty())
    Added.m_Key = RequestKeys::hash(New.m_Service, New.m_Team, New.m_Key);
  Added.m_Need = New.m_Need;
  Added.m_Trace = New.m_Trace;
  if (Added.m_Trace.m_TraceId == RequestId{})
    Added.m_Trace.m_TraceId = New.m_Request;
  Added.m_SpanId = newSpanId();
  Service &To = m_Services[Added.m_Service];
  Added.m_ArrivedAt = m_Now;
  Added.m_Deadline = m_Now + deadlineOf(To, New);
  Added.m_DeadlineTimer =
      m_Timers.add(Added.m_Deadline, TimerKind::Deadline, Index);
  // Tasks of jobs are never retried, so jobs add nothing to the retry budget.
  if (!Added.isJob())
    To.m_Budget.requestArrived(m_Preset->m_RetryPercent, m_Now);
  return Index;
}

void EntryCore::Impl::refuse(const Arrival &New, RefusalReason Reason) {
  m_OutcomeLog.countRefusal(Reason);
  std::string Detail = detailOf(Reason, New);
  if (New.m_Kind == SubmissionKind::Job) {
    m_Commands->emplace_back(AnswerJob{New.m_Caller,
                                       New.m_Request,
                                       Outcome::NotRun,
                                       Reason,
                                       std::move(Detail),
                                       {}});
    return;
  }
  m_Commands->emplace_back(AnswerRequest{New.m_Caller, New.m_Request,
                                         Outcome::NotRun, Reason, 0,
                                         std::move(Detail), nullptr});
}

ServiceIndex EntryCore::Impl::findOrAddService(const std::string &Name) {
  const auto Found = m_ServiceByName.find(Name);
  if (Found != m_ServiceByName.end())
    return Found->second;
  const auto Index = static_cast<ServiceIndex>(m_Services.size());
  Service &Added = m_Services.emplace_back(m_Submissions);
  Added.m_Name = Name;
  if (m_Config) {
    const auto Declared = m_Config->m_Configuration.m_Services.find(Name);
    if (Declared != m_Config->m_Configuration.m_Services.end())
      Added.m_Config = &Declared->second;
  }
  m_ServiceByName.emplace(Name, Index);
  return Index;
}

} // namespace cyclamencroft
