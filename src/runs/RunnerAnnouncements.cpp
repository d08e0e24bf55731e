// Announcements of endpoints in a run agent: which process is the endpoint.
#include "runs/RunnerCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Time for the answer to a probe; the process is on the same host.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(80);

/// Delay after a probe that was not answered.
constexpr Duration ProbeRetryDelay = std::chrono::milliseconds(50);

/// Whether entries may place the same runs on both endpoints, as far as their
/// capacity allows.
bool offersSame(const EndpointView &A, const EndpointView &B) {
  return A.m_Service == B.m_Service && A.m_Labels == B.m_Labels &&
         A.m_WorkerType == B.m_WorkerType &&
         A.m_FailureDomain == B.m_FailureDomain;
}

} // namespace

void RunnerCore::Impl::onEvent(const EndpointHeartbeat &Event) {
  if (Event.m_EndpointIncarnation != m_EndpointIncarnation)
    return considerCandidate(Event);
  // Neither changes during the life of a process.
  if (Event.m_Address != m_Address ||
      Event.m_View.m_Service != m_View.m_Service)
    return logIgnored(Event, "other-writer");
  if (Event.m_Sequence <= m_HeartbeatSequence)
    return logIgnored(Event, "old");
  const bool NewGeneration = !offersSame(m_View, Event.m_View);
  const bool Changed = Event.m_View.m_Capacity != m_View.m_Capacity;
  applyHeartbeat(Event, m_Now);
  if (NewGeneration)
    beginGeneration();
  else if (Changed)
    reportEndpoint();
}

void RunnerCore::Impl::beginGeneration() {
  m_Generation =
      EndpointGeneration{static_cast<std::uint64_t>(m_Generation) + 1};
  reportEndpoint();
  // After the report, so that entries don't place these runs here again.
  refuseWaiting([](const WaitingRun &) { return true; },
                StartRefusal::OtherEndpoint);
}

void RunnerCore::Impl::applyHeartbeat(const EndpointHeartbeat &Event,
                                      TimePoint ReceivedAt) {
  m_HeartbeatSequence = Event.m_Sequence;
  m_HeartbeatAt = ReceivedAt;
  m_Address = Event.m_Address;
  m_View = Event.m_View;
  m_EndpointDraining = Event.m_View.m_State == EndpointState::Draining;
  m_Clock.observe(ReceivedAt, Event.m_Clock);
}

void RunnerCore::Impl::considerCandidate(const EndpointHeartbeat &Event) {
  if (!isNewer(Event))
    return logIgnored(Event, "old");
  const bool Known = m_Candidate &&
                     m_Candidate->m_Heartbeat.m_EndpointIncarnation ==
                         Event.m_EndpointIncarnation &&
                     m_Candidate->m_Heartbeat.m_Address == Event.m_Address;
  if (Known && Event.m_Sequence <= m_Candidate->m_Heartbeat.m_Sequence)
    return logIgnored(Event, "old");
  if (!Known) {
    m_Candidate.emplace();
    m_Candidate->m_NextProbeAt = m_Now;
    log("endpoint-candidate",
        {{"endpoint", Event.m_EndpointIncarnation.m_Id},
         {"born-at-ms",
          std::to_string(Event.m_EndpointIncarnation.m_StartedAtMs)},
         {"address", Event.m_Address},
         {"service", Event.m_View.m_Service},
         {"present", m_EndpointIncarnation.m_Id},
         {"present-born-at-ms",
          std::to_string(m_EndpointIncarnation.m_StartedAtMs)},
         {"present-address", m_Address},
         {"runs", std::to_string(m_Runs.size())}});
  }
  m_Candidate->m_Heartbeat = Event;
  m_Candidate->m_ReceivedAt = m_Now;
}

bool RunnerCore::Impl::isNewer(const EndpointHeartbeat &Event) const {
  if (Event.m_EndpointIncarnation.m_StartedAtMs ==
      m_EndpointIncarnation.m_StartedAtMs)
    return Event.m_Sequence > m_HeartbeatSequence;
  return Event.m_EndpointIncarnation.m_StartedAtMs >
         m_EndpointIncarnation.m_StartedAtMs;
}

void RunnerCore::Impl::probeCandidate() {
  const bool Due = m_Candidate && !m_Candidate->m_Confirmed &&
                   !m_Candidate->m_PendingProbe &&
                   m_Now >= m_Candidate->m_NextProbeAt;
  if (!Due)
    return;
  const EndpointHeartbeat &Announced = m_Candidate->m_Heartbeat;
  m_Candidate->m_PendingProbe = ++m_ProbeNumber;
  m_Commands->push_back(
      CallProbe{{Announced.m_Address, Announced.m_EndpointIncarnation,
                 m_Options.m_FencingToken},
                m_ProbeNumber,
                ProbeTimeout});
}

void RunnerCore::Impl::onEvent(const ProbeAnswered &Event) {
  if (!m_Candidate || m_Candidate->m_PendingProbe != Event.m_Call)
    return;
  m_Candidate->m_PendingProbe.reset();
  switch (Event.m_Fault) {
  case CallFault::Refused:
    return dropCandidate("no process at its address");
  case CallFault::OtherIncarnation:
    return dropCandidate("another process at its address");
  case CallFault::Invalid:
    return dropCandidate("malformed answer");
  case CallFault::NotSent:
  case CallFault::NoAnswer:
  case CallFault::Unhealthy:
    m_Candidate->m_NextProbeAt = m_Now + ProbeRetryDelay;
    return;
  case CallFault::None:
    break;
  }
  if (Event.m_Fenced)
    return raiseToken();
  if (Event.m_StartedAtMs !=
      m_Candidate->m_Heartbeat.m_EndpointIncarnation.m_StartedAtMs)
    return dropCandidate("another process at its address");
  m_Candidate->m_Confirmed = true;
}

void RunnerCore::Impl::dropCandidate(std::string_view Reason) {
  const EndpointHeartbeat &Announced = m_Candidate->m_Heartbeat;
  log("endpoint-not-confirmed",
      {{"endpoint", Announced.m_EndpointIncarnation.m_Id},
       {"born-at-ms",
        std::to_string(Announced.m_EndpointIncarnation.m_StartedAtMs)},
       {"address", Announced.m_Address},
       {"reason", std::string(Reason)},
       {"present", m_EndpointIncarnation.m_Id}});
  m_Candidate.reset();
}

/// An address belongs to one process at a time. A process at another address
/// may live on, and its runs with it, until it is lost or they have ended.
bool RunnerCore::Impl::candidateReplacesEndpoint() const {
  return m_Candidate && m_Candidate->m_Confirmed &&
         (m_EndpointIncarnation.m_Id.empty() || m_Runs.empty() ||
          m_Candidate->m_Heartbeat.m_Address == m_Address);
}

void RunnerCore::Impl::adoptCandidate() {
  const EndpointCandidate Adopted = *std::exchange(m_Candidate, std::nullopt);
  resetEndpoint(Adopted.m_Heartbeat.m_EndpointIncarnation);
  applyHeartbeat(Adopted.m_Heartbeat, Adopted.m_ReceivedAt);
  beginGeneration();
  log("endpoint-announced",
      {{"endpoint", m_EndpointIncarnation.m_Id},
       {"born-at-ms", std::to_string(m_EndpointIncarnation.m_StartedAtMs)},
       {"generation", describe(m_Generation)},
       {"service", m_View.m_Service},
       {"milli-cores", std::to_string(m_View.m_Capacity.m_MilliCores)}});
}

void RunnerCore::Impl::resetEndpoint(const EndpointIncarnation &Next) {
  endRunsAsLost("endpoint-restarted");
  m_EndpointIncarnation = Next;
  m_Clock.reset();
  m_Meter = EndpointMeter{};
  m_Unresponsive = false;
  m_EarlierRunsEnded = false;
  m_AcknowledgedEnds = 0;
  m_ListedEnds = 0;
  // The answer to a hold call of the earlier incarnation does not apply to this
  // one.
  m_HoldPending = false;
  m_NextHoldAt = m_Now;
}

TimePoint RunnerCore::Impl::candidateWakeup() const {
  if (!m_Candidate)
    return TimePoint::max();
  const TimePoint Expiry =
      m_Candidate->m_ReceivedAt + m_Options.m_HeartbeatTimeout;
  const bool AwaitsProbe =
      !m_Candidate->m_Confirmed && !m_Candidate->m_PendingProbe;
  return AwaitsProbe ? std::min(Expiry, m_Candidate->m_NextProbeAt) : Expiry;
}

void RunnerCore::Impl::expireCandidate() {
  if (m_Candidate &&
      m_Now >= m_Candidate->m_ReceivedAt + m_Options.m_HeartbeatTimeout)
    dropCandidate("no answer and no further heartbeat");
}

void RunnerCore::Impl::logIgnored(const EndpointHeartbeat &Event,
                                  std::string_view Reason) {
  log("heartbeat-ignored",
      {{"endpoint", Event.m_EndpointIncarnation.m_Id},
       {"born-at-ms",
        std::to_string(Event.m_EndpointIncarnation.m_StartedAtMs)},
       {"address", Event.m_Address},
       {"service", Event.m_View.m_Service},
       {"sequence", std::to_string(Event.m_Sequence)},
       {"known-sequence", std::to_string(m_HeartbeatSequence)},
       {"reason", std::string(Reason)}});
}

} // namespace cyclamencroft
