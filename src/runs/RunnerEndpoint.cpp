// What a run agent knows of its endpoint: lives, leases and lists of runs.
#include "runs/RunnerCoreImpl.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cyclamencroft {
namespace {

/// The endpoint answers a hold after this time when no run has ended. Bounds
/// the time for which a lost answer hides the ends of short tasks.
constexpr Duration HoldWait = std::chrono::milliseconds(40);

/// For the answer beyond that wait. The endpoint is on the same host and takes
/// a few ms; a host that is five times slower stays within it.
constexpr Duration HoldAnswerTime = std::chrono::milliseconds(40);

/// An endpoint that answers no hold for this long counts as silent. Single
/// answers are lost at times; leases of a second outlast it.
constexpr Duration SilentAfter = std::chrono::milliseconds(400);

/// Pause after a hold that failed.
constexpr Duration HoldRetry = std::chrono::milliseconds(50);

/// Least time between a hold that got no answer and the next: one that ran out
/// of time is repeated at once, and one on a connection that was reset is not.
constexpr Duration HoldInterval = std::chrono::milliseconds(40);

/// Step of the fencing token after a refusal: covers the clock steps of a host
/// whose earlier process drew its token from a later time.
constexpr std::uint64_t TokenStep = 1'000'000;

} // namespace

void RunnerCore::Impl::onEvent(const EndpointHeartbeat &Event) {
  if (!isNewer(Event)) {
    log("heartbeat-ignored",
        {{"endpoint", Event.m_Life.m_Id},
         {"sequence", std::to_string(Event.m_Sequence)},
         {"known-sequence", std::to_string(m_HeartbeatSequence)}});
    return;
  }
  if (Event.m_Life != m_Life)
    adoptLife(Event);
  const bool Changed = !m_View.m_Room.holds(Event.m_View.m_Room) ||
                       !Event.m_View.m_Room.holds(m_View.m_Room);
  m_HeartbeatSequence = Event.m_Sequence;
  m_HeartbeatAt = m_Now;
  m_Address = Event.m_Address;
  m_View = Event.m_View;
  m_EndpointLeaves = Event.m_View.m_State == EndpointState::Leaving;
  if (!m_Clock.known())
    m_Clock.observe(m_Now, Event.m_Clock);
  if (Changed)
    tellEndpoint();
}

bool RunnerCore::Impl::isNewer(const EndpointHeartbeat &Event) const {
  if (Event.m_Life.m_BornAtMs == m_Life.m_BornAtMs)
    return Event.m_Sequence > m_HeartbeatSequence;
  return Event.m_Life.m_BornAtMs > m_Life.m_BornAtMs;
}

void RunnerCore::Impl::adoptLife(const EndpointHeartbeat &Event) {
  loseRuns("endpoint-restarted");
  log("endpoint-announced",
      {{"endpoint", Event.m_Life.m_Id},
       {"born-at-ms", std::to_string(Event.m_Life.m_BornAtMs)},
       {"service", Event.m_View.m_Service},
       {"milli-cores", std::to_string(Event.m_View.m_Room.m_MilliCores)}});
  m_Life = Event.m_Life;
  m_Clock.reset();
  m_Meter = EndpointMeter{};
  m_Silent = false;
  m_Cleared = false;
  m_AcknowledgedEnds = 0;
  m_ListedEnds = 0;
  // A hold of the life before has nothing to say about this one.
  m_HoldPending = false;
  m_NextHoldAt = m_Now;
}

void RunnerCore::Impl::onEvent(const EndpointGone &Event) {
  if (Event.m_Id != m_Life.m_Id)
    return;
  // It may still be ending; its runs are over once it no longer answers.
  m_EndpointLeaves = true;
  log("endpoint-goodbye",
      {{"endpoint", m_Life.m_Id}, {"runs", std::to_string(m_Runs.size())}});
  if (m_Runs.empty())
    endpointUnreachable("endpoint-said-goodbye");
}

void RunnerCore::Impl::endpointUnreachable(std::string_view Why) {
  if (m_Life.m_Id.empty())
    return;
  log("endpoint-lost",
      {{"endpoint", m_Life.m_Id}, {"reason", std::string(Why)}});
  loseRuns(Why);
  // The birth time stays, so that a delayed heartbeat of this life, whose
  // sequence is kept as well, does not bring it back.
  m_Life.m_Id.clear();
  m_Silent = false;
  m_HoldPending = false;
}

void RunnerCore::Impl::endpointSilent() {
  ++m_Counters.m_UnansweredCalls;
  if (!m_Silent)
    log("endpoint-silent",
        {{"endpoint", m_Life.m_Id}, {"runs", std::to_string(m_Runs.size())}});
  m_Silent = true;
}

void RunnerCore::Impl::raiseToken() {
  m_Options.m_FencingToken += TokenStep;
  log("fencing-token-raised",
      {{"endpoint", m_Life.m_Id},
       {"token", std::to_string(m_Options.m_FencingToken)}});
}

bool RunnerCore::Impl::needsHold() const {
  if (m_Life.m_Id.empty() || !m_Clock.known())
    return false;
  return !m_Cleared || m_Silent || !m_Runs.empty() ||
         m_ListedEnds > m_AcknowledgedEnds;
}

void RunnerCore::Impl::callHold() {
  CallHold Call;
  Call.m_Call = callTarget();
  Call.m_Number = ++m_HoldNumber;
  Call.m_AcknowledgedEnds = m_ListedEnds;
  // A silent endpoint gets no longer lease, so that its runs surely lapse.
  if (!m_Silent && !m_Runs.empty())
    Call.m_LeaseEnd = m_Clock.grant(m_Now);
  Call.m_Wait =
      m_Runs.empty() || m_Silent || !m_Cleared ? Duration{} : HoldWait;
  Call.m_Timeout = Call.m_Wait + HoldAnswerTime;
  m_HoldPending = true;
  // The first hold after a pause begins the time in which one must be answered.
  if (m_Now - m_HoldSentAt > SilentAfter)
    m_HoldAnsweredAt = m_Now;
  m_HoldSentAt = m_Now;
  m_Commands->push_back(std::move(Call));
}

void RunnerCore::Impl::onEvent(const HoldAnswered &Event) {
  if (!m_HoldPending || Event.m_Call != m_HoldNumber)
    return;
  m_HoldPending = false;
  m_NextHoldAt = m_Now;
  switch (Event.m_Fault) {
  case CallFault::Refused:
    return endpointUnreachable("hold-refused");
  case CallFault::OtherLife:
    return endpointUnreachable("other-endpoint-at-address");
  case CallFault::NoAnswer:
    m_NextHoldAt = std::max(m_Now, m_HoldSentAt + HoldInterval);
    if (m_Now - m_HoldAnsweredAt < SilentAfter)
      return;
    [[fallthrough]];
  case CallFault::Unhealthy:
  case CallFault::Invalid:
    m_NextHoldAt = m_Now + HoldRetry;
    return endpointSilent();
  case CallFault::None:
    break;
  }
  if (Event.m_Fenced)
    return raiseToken();
  if (Event.m_BornAtMs != m_Life.m_BornAtMs)
    return endpointUnreachable("endpoint-restarted");
  m_HoldAnsweredAt = m_Now;
  if (std::exchange(m_Silent, false))
    log("endpoint-answers", {{"endpoint", m_Life.m_Id}});
  if (Event.m_Clock)
    m_Clock.observe(m_Now, *Event.m_Clock);
  takeLists(Event, m_HoldSentAt);
}

void RunnerCore::Impl::takeLists(const HoldAnswered &Event, TimePoint AskedAt) {
  m_AcknowledgedEnds = std::max(m_AcknowledgedEnds, m_ListedEnds);
  for (const EndedRun &Each : Event.m_Ended) {
    m_ListedEnds = std::max(m_ListedEnds, Each.m_Number);
    const auto Found = m_Runs.find(Each.m_Run);
    if (Found != m_Runs.end())
      end(Found, Each.m_End, StartRefusal::None);
  }
  for (const RunName &Each : Event.m_Running)
    takeRunning(Each);
  const std::vector<RunName> &Running = Event.m_Running;
  for (auto Next = m_Runs.begin(); Next != m_Runs.end();) {
    const auto Each = Next++;
    const bool Listed =
        std::find(Running.begin(), Running.end(), Each->first) != Running.end();
    if (!Listed && Each->second.m_ListedAfter < AskedAt)
      end(Each, Each->second.m_Seen ? RunEnd::Lost : RunEnd::NotStarted,
          StartRefusal::None);
  }
  m_Cleared = m_Cleared || m_Runs.empty();
}

/// A listed run that this process does not know was started by an earlier one,
/// or by an order that was held up until the endpoint had restarted.
void RunnerCore::Impl::takeRunning(const RunName &Name) {
  const auto Found = m_Runs.find(Name);
  if (Found == m_Runs.end())
    return stop(Name, m_Runs[Name], "not-started-by-this-agent");
  Run &Known = Found->second;
  Known.m_Seen = true;
  if (Known.m_Phase == Phase::Starting)
    Known.m_Phase = Phase::Running;
}

EndpointState RunnerCore::Impl::offeredState() const {
  if (m_Life.m_Id.empty() || m_Silent)
    return EndpointState::Absent;
  if (!m_Cleared)
    return EndpointState::Clearing;
  return m_EndpointLeaves || m_ShuttingDown ? EndpointState::Leaving
                                            : EndpointState::Active;
}

EndpointCall RunnerCore::Impl::callTarget() const {
  return {m_Address, m_Life.m_Id, m_Options.m_FencingToken};
}

RunProgress RunnerCore::Impl::progressOf(const Run &Going) const {
  return {m_Now - Going.m_StartedAt, Going.m_Estimate};
}

EndpointLoad RunnerCore::Impl::load(const EntryLink &Receiver) const {
  std::vector<RunProgress> Running;
  Running.reserve(m_Runs.size());
  for (const auto &[Name, Each] : m_Runs)
    if (Each.m_Phase == Phase::Running)
      Running.push_back(progressOf(Each));
  return {m_Reserved, m_Waiting.size(),
          static_cast<std::uint32_t>(m_Runs.size()), Receiver.m_StartsTaken,
          m_Meter.quality(m_Now, Running)};
}

} // namespace cyclamencroft
