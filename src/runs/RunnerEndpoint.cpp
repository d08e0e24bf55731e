// State of the endpoint in a run agent: its loss, leases and lists of runs.
#include "runs/RunnerCoreImpl.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cyclamencroft {
namespace {

/// The endpoint answers a hold call after this time when no run has ended.
/// Bounds how long a lost answer delays the detection of ended runs of short
/// tasks.
constexpr Duration HoldWait = std::chrono::milliseconds(40);

/// Time for the answer in addition to HoldWait. The endpoint is on the same
/// host and answers in a few ms; a host that is five times slower stays within
/// it.
constexpr Duration HoldAnswerTime = std::chrono::milliseconds(40);

/// An endpoint that answers no hold call for this long counts as unresponsive.
/// Long enough to tolerate the loss of single answers, which happens at times,
/// and shorter than leases of 1 s.
constexpr Duration UnresponsiveTimeout = std::chrono::milliseconds(400);

/// Delay after a failed hold call.
constexpr Duration HoldRetryDelay = std::chrono::milliseconds(50);

/// Minimum time from an unanswered hold call to the next one: a call that timed
/// out is repeated at once, a call whose connection was reset is delayed.
constexpr Duration HoldInterval = std::chrono::milliseconds(40);

/// Increment of the fencing token after a rejection. Tokens are derived from
/// the host's clock; after that clock was set back, an earlier process may have
/// a higher token.
constexpr std::uint64_t TokenStep = 1'000'000;

} // namespace

void RunnerCore::Impl::onEvent(const EndpointGoodbye &Event) {
  if (Event.m_Id != m_EndpointIncarnation.m_Id)
    return;
  // The endpoint may still be shutting down; its runs have ended once it no
  // longer answers.
  m_EndpointDraining = true;
  log("endpoint-goodbye", {{"endpoint", m_EndpointIncarnation.m_Id},
                           {"runs", std::to_string(m_Runs.size())}});
  if (m_Runs.empty())
    markEndpointLost("endpoint-said-goodbye");
}

void RunnerCore::Impl::markEndpointLost(std::string_view Cause) {
  if (m_EndpointIncarnation.m_Id.empty())
    return;
  log("endpoint-lost", {{"endpoint", m_EndpointIncarnation.m_Id},
                        {"reason", std::string(Cause)}});
  endRunsAsLost(Cause);
  // The start time and the heartbeat sequence are kept, so that a delayed
  // heartbeat of this incarnation is still ignored.
  m_EndpointIncarnation.m_Id.clear();
  m_Unresponsive = false;
  m_HoldPending = false;
}

void RunnerCore::Impl::markEndpointUnresponsive() {
  ++m_Counters.m_UnansweredCalls;
  if (!m_Unresponsive)
    log("endpoint-silent",
        {{"endpoint", m_EndpointIncarnation.m_Id},
         {"runs", std::to_string(m_Runs.size())},
         {"clock-reading-age-us",
          std::to_string(m_Clock.readingAge(m_Now).count())}});
  m_Unresponsive = true;
}

void RunnerCore::Impl::raiseToken() {
  m_Options.m_FencingToken += TokenStep;
  log("fencing-token-raised",
      {{"endpoint", m_EndpointIncarnation.m_Id},
       {"token", std::to_string(m_Options.m_FencingToken)}});
}

bool RunnerCore::Impl::needsHold() const {
  if (m_EndpointIncarnation.m_Id.empty() || !m_Clock.known())
    return false;
  return !m_EarlierRunsEnded || m_Unresponsive || !m_Runs.empty() ||
         m_ListedEnds > m_AcknowledgedEnds;
}

void RunnerCore::Impl::callHold() {
  CallHold Call;
  Call.m_Call = callTarget();
  Call.m_Number = ++m_HoldNumber;
  Call.m_AcknowledgedEnds = m_ListedEnds;
  // An unresponsive endpoint gets no lease extension, so that its runs are sure
  // to expire; nor do the runs of an earlier agent process, whose entry counts
  // them as lost after the leases of that process.
  if (!m_Unresponsive && m_EarlierRunsEnded && !m_Runs.empty())
    Call.m_LeaseEnd = m_Clock.grant(m_Now);
  Call.m_Wait = m_Runs.empty() || m_Unresponsive || !m_EarlierRunsEnded
                    ? Duration{}
                    : HoldWait;
  Call.m_Timeout = Call.m_Wait + HoldAnswerTime;
  m_HoldPending = true;
  // The first hold call after a pause restarts the time limit for an answer.
  if (m_Now - m_HoldSentAt > UnresponsiveTimeout)
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
    return markEndpointLost("hold-refused");
  case CallFault::OtherIncarnation:
    return markEndpointLost("other-endpoint-at-address");
  case CallFault::NotSent:
  case CallFault::NoAnswer:
    m_NextHoldAt = std::max(m_Now, m_HoldSentAt + HoldInterval);
    if (m_Now - m_HoldAnsweredAt < UnresponsiveTimeout)
      return;
    [[fallthrough]];
  case CallFault::Unhealthy:
  case CallFault::Invalid:
    m_NextHoldAt = m_Now + HoldRetryDelay;
    return markEndpointUnresponsive();
  case CallFault::None:
    break;
  }
  if (Event.m_Fenced)
    return raiseToken();
  if (Event.m_StartedAtMs != m_EndpointIncarnation.m_StartedAtMs)
    return markEndpointLost("endpoint-restarted");
  m_HoldAnsweredAt = m_Now;
  if (m_Candidate && m_Candidate->m_Confirmed)
    dropCandidate("the present endpoint still answers");
  if (std::exchange(m_Unresponsive, false))
    log("endpoint-answers", {{"endpoint", m_EndpointIncarnation.m_Id}});
  if (Event.m_Clock)
    m_Clock.observe(m_Now, *Event.m_Clock);
  applyRunLists(Event, m_HoldSentAt);
}

void RunnerCore::Impl::applyRunLists(const HoldAnswered &Event,
                                     TimePoint AskedAt) {
  m_AcknowledgedEnds = std::max(m_AcknowledgedEnds, m_ListedEnds);
  for (const EndedRun &Each : Event.m_Ended) {
    m_ListedEnds = std::max(m_ListedEnds, Each.m_Number);
    const auto Found = m_Runs.find(Each.m_Run);
    if (Found != m_Runs.end())
      end(Found, Each.m_End, StartRefusal::None);
  }
  for (const RunName &Each : Event.m_Running)
    handleListedRun(Each);
  const std::vector<RunName> &Running = Event.m_Running;
  for (auto Next = m_Runs.begin(); Next != m_Runs.end();) {
    const auto Each = Next++;
    const bool Listed =
        std::find(Running.begin(), Running.end(), Each->first) != Running.end();
    if (!Listed && Each->second.m_ListsValidAfter < AskedAt)
      end(Each,
          Each->second.m_StartConfirmed ? RunEnd::Lost : RunEnd::NotStarted,
          StartRefusal::None);
  }
  m_EarlierRunsEnded = m_EarlierRunsEnded || m_Runs.empty();
}

/// A listed run that is unknown to this process was started by an earlier agent
/// process, or by a start call that was delayed until the endpoint had
/// restarted.
void RunnerCore::Impl::handleListedRun(const RunName &Name) {
  const auto Found = m_Runs.find(Name);
  if (Found == m_Runs.end())
    return stop(Name, m_Runs[Name], "not-started-by-this-agent");
  Run &Known = Found->second;
  Known.m_StartConfirmed = true;
  if (Known.m_Phase == Phase::Starting)
    Known.m_Phase = Phase::Running;
}

EndpointState RunnerCore::Impl::offeredState() const {
  if (m_EndpointIncarnation.m_Id.empty() || m_Unresponsive)
    return EndpointState::Absent;
  if (!m_EarlierRunsEnded)
    return EndpointState::Clearing;
  if (m_EndpointDraining || m_ShuttingDown)
    return EndpointState::Draining;
  return m_Evacuations.contains(m_View.m_FailureDomain)
             ? EndpointState::Evacuated
             : EndpointState::Active;
}

EndpointView RunnerCore::Impl::offeredView() const {
  EndpointView View = m_View;
  View.m_Generation = m_Generation;
  View.m_State = offeredState();
  return View;
}

EndpointCall RunnerCore::Impl::callTarget() const {
  return {m_Address, m_EndpointIncarnation, m_Options.m_FencingToken};
}

RunProgress RunnerCore::Impl::progressOf(const Run &Ongoing) const {
  return {m_Now - Ongoing.m_StartedAt, Ongoing.m_Estimate};
}

EndpointLoad RunnerCore::Impl::load(const EntryLink &Receiver) const {
  std::vector<RunProgress> Running;
  Running.reserve(m_Runs.size());
  for (const auto &[Name, Each] : m_Runs)
    if (Each.m_Phase == Phase::Running)
      Running.push_back(progressOf(Each));
  return {m_Reserved, m_Waiting.size(),
          static_cast<std::uint32_t>(m_Runs.size()), Receiver.m_StartsReceived,
          m_Meter.quality(m_Now, Running)};
}

} // namespace cyclamencroft
