// Life of a run at the agent: started, listed as ended or stopped.
#include "runs/RunnerCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// An order that was under way for longer is refused: the entry may have given
/// the task up. Well below the entry's lease.
constexpr Duration LateOrder = std::chrono::milliseconds(300);

/// A waiting run is given back after this: several ends of other runs at a
/// busy endpoint.
constexpr Duration LongestWait = std::chrono::milliseconds(20);

/// Work that may wait, as a part of the endpoint's room: what becomes free
/// within a few round trips.
constexpr std::uint32_t WaitingPartOfRoom = 3;

/// Pause before an order to stop is repeated the first time; it doubles with
/// each repetition, because an endpoint that breaks its connections off does so
/// for seconds.
constexpr Duration StopRetry = std::chrono::milliseconds(20);
constexpr Duration LongestStopRetry = std::chrono::milliseconds(160);

} // namespace

void RunnerCore::Impl::onMessage(EntryLink &Link, const StartTask &Message) {
  const Duration Delay = extendLease(Link, Message.m_SentAt);
  ++Link.m_StartsTaken;
  const StartRefusal Reason = refusalFor(Message, Delay);
  if (Reason != StartRefusal::None)
    return refuse(Link, Message.m_Run, Reason);
  wait(Link, Message);
}

StartRefusal RunnerCore::Impl::refusalFor(const StartTask &Message,
                                          Duration Delay) const {
  if (m_ShuttingDown)
    return StartRefusal::Leaving;
  switch (offeredState()) {
  case EndpointState::Absent:
  case EndpointState::Clearing:
    return StartRefusal::NoEndpoint;
  case EndpointState::Leaving:
    return StartRefusal::Leaving;
  case EndpointState::Active:
    break;
  }
  if (Delay > LateOrder)
    return StartRefusal::Late;
  // Another run of the task may belong to an entry that lost its caller.
  const RunName First{Message.m_Run.m_Task, 0};
  const auto Same = m_Runs.lower_bound(First);
  if (Same != m_Runs.end() && Same->first.m_Task == Message.m_Run.m_Task)
    return StartRefusal::Superseded;
  if (m_Waiting.contains(Message.m_Run.m_Task))
    return StartRefusal::Superseded;
  Size Allowed = m_View.m_Room;
  Allowed.m_MilliCores += Allowed.m_MilliCores / WaitingPartOfRoom;
  Allowed.m_MemoryMiB += Allowed.m_MemoryMiB / WaitingPartOfRoom;
  const bool Fits =
      m_View.m_Room.holds(Message.m_Need) &&
      Allowed.holds(m_Reserved + m_Waiting.size() + Message.m_Need);
  return Fits ? StartRefusal::None : StartRefusal::NoRoom;
}

void RunnerCore::Impl::refuse(EntryLink &Link, const RunName &Name,
                              StartRefusal Reason) {
  ++m_Counters.m_Refusals;
  // Lost races are many in an overload; the entry counts them on the job's last
  // line.
  if (Reason != StartRefusal::NoRoom)
    log("run-refused", {{"run", describe(Name)},
                        {"entry", Link.m_EntryId},
                        {"reason", std::string(toString(Reason))},
                        {"reserved", std::to_string(m_Reserved.m_MilliCores)},
                        {"runs", std::to_string(m_Runs.size())}});
  tellEnd(Link, TaskEnded{Name, RunEnd::NotStarted, Reason, {}, load(Link)});
}

void RunnerCore::Impl::wait(EntryLink &Link, const StartTask &Message) {
  WaitingRun Added;
  Added.m_Name = Message.m_Run;
  Added.m_Owner = &Link;
  Added.m_Need = Message.m_Need;
  Added.m_Estimate = Message.m_Estimate;
  Added.m_Specification = Message.m_Specification;
  Added.m_LatestStart = m_Now + Message.m_StartWithin;
  Added.m_ReturnAt = m_Now + LongestWait;
  m_Waiting.add(std::move(Added), m_Now);
  oweReports();
}

void RunnerCore::Impl::startWaiting() {
  if (m_Waiting.empty())
    return;
  const EndpointState State = offeredState();
  if (State != EndpointState::Active) {
    const bool Leaves = State == EndpointState::Leaving;
    return giveBack([](const WaitingRun &) { return true; },
                    Leaves ? StartRefusal::Leaving : StartRefusal::NoEndpoint);
  }
  while (std::optional<WaitingRun> Next = m_Waiting.takeFitting(freeRoom()))
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

void RunnerCore::Impl::giveBack(
    const std::function<bool(const WaitingRun &)> &Which, StartRefusal Reason) {
  m_Waiting.remove(Which, [&](const WaitingRun &Each) {
    refuse(*Each.m_Owner, Each.m_Name, Reason);
  });
}

void RunnerCore::Impl::callStart(const RunName &Name, Run &Started) {
  Started.m_StartedAt = m_Now;
  Started.m_ListedAfter = TimePoint::max();
  m_Commands->push_back(CallStart{callTarget(), Name, Started.m_Specification,
                                  m_Clock.grant(m_Now)});
}

void RunnerCore::Impl::onEvent(const StartAnswered &Event) {
  if (Event.m_Clock)
    m_Clock.observe(m_Now, *Event.m_Clock);
  const auto Found = m_Runs.find(Event.m_Run);
  if (Found == m_Runs.end())
    return;
  Run &Answered = Found->second;
  switch (Event.m_Fault) {
  case CallFault::None:
    break;
  case CallFault::Refused:
    return endpointUnreachable("start-refused");
  case CallFault::NoAnswer:
    ++m_Counters.m_UnansweredCalls;
    if (Answered.m_Seen)
      return;
    m_Meter.runFailed(m_Now);
    return stop(Event.m_Run, Answered, "start-unanswered");
  case CallFault::OtherLife:
    return notStarted(Event.m_Run, StartRefusal::NoEndpoint);
  case CallFault::Unhealthy:
    m_Meter.runFailed(m_Now);
    return notStarted(Event.m_Run, StartRefusal::Unhealthy);
  case CallFault::Invalid:
    return notStarted(Event.m_Run, StartRefusal::Invalid);
  }
  switch (Event.m_Verdict) {
  case StartVerdict::Started:
    Answered.m_Seen = true;
    Answered.m_ListedAfter = m_Now;
    if (Answered.m_Phase == Phase::Starting)
      Answered.m_Phase = Phase::Running;
    return;
  case StartVerdict::Fenced:
    raiseToken();
    if (Answered.m_Phase == Phase::Starting)
      return callStart(Event.m_Run, Answered);
    return notStarted(Event.m_Run, StartRefusal::Superseded);
  case StartVerdict::Superseded:
    return notStarted(Event.m_Run, StartRefusal::Superseded);
  case StartVerdict::Late:
    return notStarted(Event.m_Run, StartRefusal::Late);
  case StartVerdict::NoRoom:
    return notStarted(Event.m_Run, StartRefusal::NoRoom);
  }
}

void RunnerCore::Impl::notStarted(const RunName &Name, StartRefusal Reason) {
  const auto Found = m_Runs.find(Name);
  log("run-not-started", {{"run", describe(Name)},
                          {"reason", std::string(toString(Reason))},
                          {"endpoint", m_Life.m_Id}});
  end(Found, RunEnd::NotStarted, Reason);
}

void RunnerCore::Impl::onMessage(EntryLink &Link, const StopJob &Message) {
  giveBack(
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
  giveBack(
      [&](const WaitingRun &Each) {
        return Each.m_Owner == &Link && Each.m_Name == Message.m_Run;
      },
      StartRefusal::Cancelled);
  const auto Found = m_Runs.find(Message.m_Run);
  if (Found != m_Runs.end() && Found->second.m_Owner == &Link)
    stop(Found->first, Found->second, "entry-asked");
}

void RunnerCore::Impl::stopRunsOf(const EntryLink &Owner,
                                  std::string_view Why) {
  giveBack([&](const WaitingRun &Each) { return Each.m_Owner == &Owner; },
           StartRefusal::Cancelled);
  for (auto &[Name, Each] : m_Runs)
    if (Each.m_Owner == &Owner)
      stop(Name, Each, Why);
}

void RunnerCore::Impl::stop(const RunName &Name, Run &Running,
                            std::string_view Why) {
  if (Running.m_Phase == Phase::Stopping || Running.m_Phase == Phase::Stopped)
    return;
  log("run-stopped",
      {{"run", describe(Name)},
       {"reason", std::string(Why)},
       {"entry", Running.m_Owner ? Running.m_Owner->m_EntryId : "none"}});
  Running.m_Phase = Phase::Stopping;
  Running.m_StopPause = StopRetry;
  callStop(Name, Running);
}

void RunnerCore::Impl::callStop(const RunName &Name, Run &Stopping) {
  Stopping.m_StopAgainAt = TimePoint::max();
  m_Commands->push_back(CallStop{callTarget(), Name});
}

void RunnerCore::Impl::onEvent(const StopAnswered &Event) {
  if (Event.m_Clock)
    m_Clock.observe(m_Now, *Event.m_Clock);
  const auto Found = m_Runs.find(Event.m_Run);
  if (Found == m_Runs.end())
    return;
  Run &Answered = Found->second;
  if (Event.m_Fault == CallFault::Refused)
    return endpointUnreachable("stop-refused");
  if (Event.m_Fault == CallFault::None && Event.m_Fenced)
    raiseToken();
  if (Event.m_Fault != CallFault::None || Event.m_Fenced) {
    ++m_Counters.m_UnansweredCalls;
    Answered.m_StopAgainAt = m_Now + Answered.m_StopPause;
    Answered.m_StopPause = std::min(2 * Answered.m_StopPause, LongestStopRetry);
    return;
  }
  // From here on the endpoint rejects this run, should its start still come.
  Answered.m_Phase = Phase::Stopped;
  Answered.m_ListedAfter = m_Now;
}

void RunnerCore::Impl::end(Runs::iterator Which, RunEnd How,
                           StartRefusal Reason) {
  const auto [Name, Ended] = *Which;
  m_Runs.erase(Which);
  m_Reserved -= Ended.m_Need;
  m_Counters.m_Done += How == RunEnd::Done ? 1 : 0;
  m_Counters.m_Failed += How == RunEnd::Failed ? 1 : 0;
  m_Counters.m_Lost += How == RunEnd::Lost ? 1 : 0;
  if (How == RunEnd::Done)
    m_Meter.runDone(m_Now, progressOf(Ended));
  if (How == RunEnd::Stopped)
    m_Meter.runStopped(m_Now, progressOf(Ended));
  if (How == RunEnd::Failed)
    m_Meter.runFailed(m_Now);
  const bool Usual = How == RunEnd::Done || How == RunEnd::NotStarted;
  if (!Usual)
    log("run-ended", {{"run", describe(Name)},
                      {"end", std::string(toString(How))},
                      {"endpoint", m_Life.m_Id}});
  oweReports();
  if (Ended.m_Owner)
    tellEnd(*Ended.m_Owner,
            TaskEnded{Name, How, Reason, m_Now - Ended.m_StartedAt,
                      load(*Ended.m_Owner)});
}

void RunnerCore::Impl::loseRuns(std::string_view Why) {
  if (!m_Runs.empty())
    log("runs-lost", {{"runs", std::to_string(m_Runs.size())},
                      {"reason", std::string(Why)},
                      {"endpoint", m_Life.m_Id}});
  while (!m_Runs.empty())
    end(m_Runs.begin(), RunEnd::Lost, StartRefusal::None);
}

} // namespace cyclamencroft
