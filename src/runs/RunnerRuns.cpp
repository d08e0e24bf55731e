// State changes of a run at the agent, from its start request to its end.
#include "runs/LeaseTimes.h"
#include "runs/RunnerCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Maximum time in the queue before a run is refused. It lets a run wait for
/// one that is just ending; for longer waits its entry has the better order,
/// and may know another endpoint with capacity.
constexpr Duration MaxWait = std::chrono::milliseconds(5);

/// The queue may hold 1 / QueueCapacityDivisor of the endpoint's capacity,
/// which is what becomes free within a few round trips.
constexpr std::uint32_t QueueCapacityDivisor = 3;

/// Unanswered start calls after which a run is stopped. Until then the call is
/// repeated: the endpoint executes a run once however often it is started.
constexpr int MaxUnansweredStarts = 4;

/// Exponential backoff for repeated stop calls: the delay starts at
/// InitialStopBackoff and doubles up to MaxStopBackoff. An endpoint that resets
/// its connections does so for seconds.
constexpr Duration InitialStopBackoff = std::chrono::milliseconds(20);
constexpr Duration MaxStopBackoff = std::chrono::milliseconds(160);

/// Why no run can be started at an endpoint in this state.
StartRefusal refusalOf(EndpointState State) {
  switch (State) {
  case EndpointState::Absent:
  case EndpointState::Clearing:
    return StartRefusal::NoEndpoint;
  case EndpointState::Draining:
    return StartRefusal::Draining;
  case EndpointState::Evacuated:
    return StartRefusal::Evacuated;
  case EndpointState::Active:
    break;
  }
  return StartRefusal::None;
}

} // namespace

void RunnerCore::Impl::onMessage(EntryLink &Link, const StartTask &Message) {
  const Duration Delay = extendLease(Link, Message.m_SentAt);
  ++Link.m_StartsReceived;
  const StartRefusal Reason = refusalFor(Message, Delay);
  if (Reason != StartRefusal::None)
    return refuse(Link, Message.m_Run, Reason);
  enqueue(Link, Message);
}

StartRefusal RunnerCore::Impl::refusalFor(const StartTask &Message,
                                          Duration Delay) const {
  if (m_ShuttingDown)
    return StartRefusal::Draining;
  const StartRefusal Unavailable = refusalOf(offeredState());
  if (Unavailable != StartRefusal::None)
    return Unavailable;
  // The endpoint may have been replaced while the start was on its way.
  if (Message.m_Generation != m_Generation)
    return StartRefusal::OtherEndpoint;
  if (Delay > MaxStartDelay)
    return StartRefusal::Late;
  // Another run of the task may belong to an entry that has lost the connection
  // to its caller.
  const RunName First{Message.m_Run.m_Task, 0};
  const auto Same = m_Runs.lower_bound(First);
  if (Same != m_Runs.end() && Same->first.m_Task == Message.m_Run.m_Task)
    return StartRefusal::Superseded;
  if (m_Waiting.contains(Message.m_Run.m_Task))
    return StartRefusal::Superseded;
  const Size &Capacity = m_View.m_Capacity;
  const Size Allowed =
      Capacity + Size{Capacity.m_MilliCores / QueueCapacityDivisor,
                      Capacity.m_MemoryMiB / QueueCapacityDivisor, 0};
  const bool Fits =
      Capacity.holds(Message.m_Need) &&
      Allowed.holds(m_Reserved + m_Waiting.size() + Message.m_Need);
  return Fits ? StartRefusal::None : StartRefusal::NoCapacity;
}

void RunnerCore::Impl::refuse(EntryLink &Link, const RunName &Name,
                              StartRefusal Reason) {
  ++m_Counters.m_Refusals;
  // Refusals for lack of capacity are frequent under overload and not logged;
  // the entry logs their number when the job ends.
  if (Reason != StartRefusal::NoCapacity)
    log("run-refused", {{"run", describe(Name)},
                        {"entry", Link.m_EntryId},
                        {"reason", std::string(toString(Reason))},
                        {"generation", describe(m_Generation)},
                        {"reserved", std::to_string(m_Reserved.m_MilliCores)},
                        {"runs", std::to_string(m_Runs.size())}});
  reportRunEnd(Link,
               TaskEnded{Name, RunEnd::NotStarted, Reason, {}, load(Link)});
}

void RunnerCore::Impl::enqueue(EntryLink &Link, const StartTask &Message) {
  WaitingRun Added;
  Added.m_Name = Message.m_Run;
  Added.m_Owner = &Link;
  Added.m_Need = Message.m_Need;
  Added.m_Estimate = Message.m_Estimate;
  Added.m_Specification = Message.m_Specification;
  Added.m_LatestStart = m_Now + Message.m_StartWithin;
  Added.m_WaitExpiresAt = m_Now + MaxWait;
  m_Waiting.add(std::move(Added), m_Now);
  markReportsDue(&Link);
}

void RunnerCore::Impl::startWaiting() {
  if (m_Waiting.empty())
    return;
  const StartRefusal Unavailable = refusalOf(offeredState());
  if (Unavailable != StartRefusal::None)
    return refuseWaiting([](const WaitingRun &) { return true; }, Unavailable);
  while (std::optional<WaitingRun> Next = m_Waiting.takeFitting(freeCapacity()))
    start(std::move(*Next));
}

void RunnerCore::Impl::start(WaitingRun Next) {
  Run &Added = m_Runs[Next.m_Name];
  Added.m_Owner = Next.m_Owner;
  Added.m_Need = Next.m_Need;
  Added.m_Estimate = Next.m_Estimate;
  Added.m_Specification = std::move(Next.m_Specification);
  m_Reserved += Added.m_Need;
  ++m_Counters.m_Starts;
  callStart(Next.m_Name, Added);
}

void RunnerCore::Impl::refuseWaiting(
    const std::function<bool(const WaitingRun &)> &Selected,
    StartRefusal Reason) {
  m_Waiting.remove(Selected, [&](const WaitingRun &Each) {
    refuse(*Each.m_Owner, Each.m_Name, Reason);
  });
}

void RunnerCore::Impl::callStart(const RunName &Name, Run &Started) {
  Started.m_StartedAt = m_Now;
  Started.m_ListsValidAfter = TimePoint::max();
  m_Commands->push_back(CallStart{callTarget(), Name, Started.m_Specification,
                                  m_Clock.grant(m_Now)});
}

void RunnerCore::Impl::onEvent(const StartAnswered &Event) {
  // Answers to runs of an earlier incarnation may still arrive, with its clock.
  const auto Found = m_Runs.find(Event.m_Run);
  if (Found == m_Runs.end())
    return;
  if (Event.m_Clock)
    m_Clock.observe(m_Now, *Event.m_Clock);
  Run &Answered = Found->second;
  const bool Started = Event.m_Fault == CallFault::None &&
                       Event.m_Result == StartResult::Started;
  const bool NoAnswer = Event.m_Fault == CallFault::NoAnswer;
  const bool SentBefore = Event.m_Resent || Answered.m_UnansweredStarts > 0;
  // A rejection doesn't tell whether an earlier call has started the run or may
  // still do so. After a stop, the lists do. A process that is gone does
  // neither.
  const bool ProcessGone = Event.m_Fault == CallFault::Refused ||
                           Event.m_Fault == CallFault::OtherIncarnation;
  if (SentBefore && !Started && !NoAnswer && !ProcessGone)
    return stop(Event.m_Run, Answered, "start-sent-twice");
  switch (Event.m_Fault) {
  case CallFault::None:
    break;
  case CallFault::Refused:
    return markEndpointLost("start-refused");
  case CallFault::OtherIncarnation:
    return markEndpointLost("other-endpoint-at-address");
  case CallFault::NotSent:
    ++m_Counters.m_UnansweredCalls;
    m_Meter.runFailed(m_Now);
    return endAsNotStarted(Event.m_Run, StartRefusal::Unhealthy);
  case CallFault::NoAnswer:
    ++m_Counters.m_UnansweredCalls;
    if (Answered.m_StartConfirmed)
      return;
    m_Meter.runFailed(m_Now);
    if (++Answered.m_UnansweredStarts < MaxUnansweredStarts &&
        Answered.m_Phase == Phase::Starting)
      return callStart(Event.m_Run, Answered);
    return stop(Event.m_Run, Answered, "start-unanswered");
  case CallFault::Unhealthy:
    m_Meter.runFailed(m_Now);
    return endAsNotStarted(Event.m_Run, StartRefusal::Unhealthy);
  case CallFault::Invalid:
    return endAsNotStarted(Event.m_Run, StartRefusal::Invalid);
  }
  switch (Event.m_Result) {
  case StartResult::Started:
    Answered.m_StartConfirmed = true;
    Answered.m_ListsValidAfter = m_Now;
    if (Answered.m_Phase == Phase::Starting)
      Answered.m_Phase = Phase::Running;
    return;
  case StartResult::Fenced:
    raiseToken();
    if (Answered.m_Phase == Phase::Starting)
      return callStart(Event.m_Run, Answered);
    return endAsNotStarted(Event.m_Run, StartRefusal::Superseded);
  case StartResult::Superseded:
    return endAsNotStarted(Event.m_Run, StartRefusal::Superseded);
  case StartResult::Late:
    return endAsNotStarted(Event.m_Run, StartRefusal::Late);
  case StartResult::NoCapacity:
    return endAsNotStarted(Event.m_Run, StartRefusal::NoCapacity);
  }
}

void RunnerCore::Impl::endAsNotStarted(const RunName &Name,
                                       StartRefusal Reason) {
  const auto Found = m_Runs.find(Name);
  log("run-not-started", {{"run", describe(Name)},
                          {"reason", std::string(toString(Reason))},
                          {"endpoint", m_EndpointIncarnation.m_Id}});
  end(Found, RunEnd::NotStarted, Reason);
}

void RunnerCore::Impl::onMessage(EntryLink &Link, const StopJob &Message) {
  refuseWaiting(
      [&](const WaitingRun &Each) {
        return Each.m_Owner == &Link &&
               Each.m_Name.m_Task.m_Job == Message.m_Job;
      },
      StartRefusal::Cancelled);
  for (auto &[Name, Each] : m_Runs)
    if (Each.m_Owner == &Link && Name.m_Task.m_Job == Message.m_Job)
      stop(Name, Each, "entry-asked");
}

void RunnerCore::Impl::onMessage(EntryLink &Link, const StopRun &Message) {
  refuseWaiting(
      [&](const WaitingRun &Each) {
        return Each.m_Owner == &Link && Each.m_Name == Message.m_Run;
      },
      StartRefusal::Cancelled);
  const auto Found = m_Runs.find(Message.m_Run);
  if (Found != m_Runs.end() && Found->second.m_Owner == &Link)
    stop(Found->first, Found->second, "entry-asked");
}

void RunnerCore::Impl::stopRunsOf(const EntryLink &Owner,
                                  std::string_view Cause) {
  refuseWaiting([&](const WaitingRun &Each) { return Each.m_Owner == &Owner; },
                StartRefusal::Cancelled);
  for (auto &[Name, Each] : m_Runs)
    if (Each.m_Owner == &Owner)
      stop(Name, Each, Cause);
}

void RunnerCore::Impl::stop(const RunName &Name, Run &Running,
                            std::string_view Cause) {
  if (Running.m_Phase == Phase::Stopping || Running.m_Phase == Phase::Stopped)
    return;
  log("run-stopped",
      {{"run", describe(Name)},
       {"reason", std::string(Cause)},
       {"entry", Running.m_Owner ? Running.m_Owner->m_EntryId : "none"}});
  Running.m_Phase = Phase::Stopping;
  Running.m_StopBackoff = InitialStopBackoff;
  callStop(Name, Running);
}

void RunnerCore::Impl::callStop(const RunName &Name, Run &Stopping) {
  Stopping.m_RetryStopAt = TimePoint::max();
  m_Commands->push_back(CallStop{callTarget(), Name});
}

void RunnerCore::Impl::onEvent(const StopAnswered &Event) {
  const auto Found = m_Runs.find(Event.m_Run);
  if (Found == m_Runs.end())
    return;
  if (Event.m_Clock)
    m_Clock.observe(m_Now, *Event.m_Clock);
  if (Event.m_Fault == CallFault::OtherIncarnation)
    return markEndpointLost("other-endpoint-at-address");
  Run &Answered = Found->second;
  if (Event.m_Fault == CallFault::Refused)
    return markEndpointLost("stop-refused");
  if (Event.m_Fault == CallFault::None && Event.m_Fenced)
    raiseToken();
  if (Event.m_Fault != CallFault::None || Event.m_Fenced) {
    ++m_Counters.m_UnansweredCalls;
    Answered.m_RetryStopAt = m_Now + Answered.m_StopBackoff;
    Answered.m_StopBackoff =
        std::min(2 * Answered.m_StopBackoff, MaxStopBackoff);
    return;
  }
  // From now on the endpoint rejects this run, even if a delayed start call
  // still arrives.
  Answered.m_Phase = Phase::Stopped;
  Answered.m_ListsValidAfter = m_Now;
}

void RunnerCore::Impl::end(Runs::iterator Selected, RunEnd Result,
                           StartRefusal Reason) {
  const auto [Name, Ended] = *Selected;
  m_Runs.erase(Selected);
  m_Reserved -= Ended.m_Need;
  m_Counters.m_Done += Result == RunEnd::Done ? 1 : 0;
  m_Counters.m_Failed += Result == RunEnd::Failed ? 1 : 0;
  m_Counters.m_Lost += Result == RunEnd::Lost ? 1 : 0;
  if (Result == RunEnd::Done)
    m_Meter.runDone(m_Now, progressOf(Ended));
  if (Result == RunEnd::Stopped)
    m_Meter.runStopped(m_Now, progressOf(Ended));
  if (Result == RunEnd::Failed)
    m_Meter.runFailed(m_Now);
  const bool Usual = Result == RunEnd::Done || Result == RunEnd::NotStarted;
  if (!Usual)
    log("run-ended", {{"run", describe(Name)},
                      {"end", std::string(toString(Result))},
                      {"endpoint", m_EndpointIncarnation.m_Id}});
  markReportsDue(nullptr);
  if (Ended.m_Owner)
    reportRunEnd(*Ended.m_Owner,
                 TaskEnded{Name, Result, Reason, m_Now - Ended.m_StartedAt,
                           load(*Ended.m_Owner)});
}

void RunnerCore::Impl::endRunsAsLost(std::string_view Cause) {
  if (!m_Runs.empty())
    log("runs-lost", {{"runs", std::to_string(m_Runs.size())},
                      {"reason", std::string(Cause)},
                      {"endpoint", m_EndpointIncarnation.m_Id}});
  while (!m_Runs.empty())
    end(m_Runs.begin(), RunEnd::Lost, StartRefusal::None);
}

} // namespace cyclamencroft
