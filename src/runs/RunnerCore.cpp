// Event handling and timers of the decision core of a run agent.
#include "runs/LeaseTimes.h"
#include "runs/RunnerCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {

RunnerCore::RunnerCore(RunnerOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

RunnerCore::~RunnerCore() = default;

void RunnerCore::handle(TimePoint Now, const RunnerEvent &Event,
                        std::vector<RunnerCommand> &Commands) {
  m_Impl->handle(Now, Event, Commands);
}

TimePoint RunnerCore::nextWakeup() const { return m_Impl->nextWakeup(); }

RunnerStatus RunnerCore::status() const { return m_Impl->status(); }

RunnerCore::Impl::Impl(RunnerOptions Options)
    : m_Options(std::move(Options)), m_NextLink(m_Options.m_FirstLink),
      m_Clock(m_Options.m_EndpointLease) {}

// Timers run before the event. If the process was suspended, this ensures that
// no event is handled under a lease that has expired in the meantime.
void RunnerCore::Impl::handle(TimePoint Now, const RunnerEvent &Event,
                              std::vector<RunnerCommand> &Commands) {
  m_Now = Now;
  m_Commands = &Commands;
  runTimers();
  std::visit([this](const auto &E) { onEvent(E); }, Event);
  runPendingActions();
  m_Commands = nullptr;
}

TimePoint RunnerCore::Impl::nextWakeup() const {
  TimePoint Next = std::min(m_Waiting.nextWaitExpiry(), candidateWakeup());
  if (!m_EndpointIncarnation.m_Id.empty() && m_Runs.empty())
    Next = std::min(Next, m_HeartbeatAt + m_Options.m_HeartbeatTimeout);
  if (!m_HoldPending && needsHold())
    Next = std::min(Next, m_NextHoldAt);
  if (m_Unresponsive && !m_Runs.empty())
    Next = std::min(Next, m_Clock.latestLeaseExpiry());
  for (const auto &[Name, Each] : m_Runs)
    Next = std::min(Next, Each.m_RetryStopAt);
  for (const auto &[Address, Link] : m_Links) {
    Next = std::min(Next, Link.m_ReportDueAt);
    if (holdsRunsOf(Link))
      Next = std::min(Next, Link.m_LeaseExpiresAt);
    if (Link.m_Link)
      Next = std::min(Next, Link.m_LastMessageAt + LinkIdleTimeout);
  }
  return Next;
}

RunnerStatus RunnerCore::Impl::status() const {
  RunnerStatus Status = m_Counters;
  Status.m_Endpoint = offeredState();
  Status.m_Running = m_Runs.size();
  for (const auto &[Address, Link] : m_Links)
    Status.m_Links += Link.m_Link ? 1 : 0;
  return Status;
}

void RunnerCore::Impl::onEvent(const ShutdownRequested &) {
  m_ShuttingDown = true;
}

void RunnerCore::Impl::onEvent(const Tick &) {}

void RunnerCore::Impl::runTimers() {
  // While there are runs, the answers to hold calls show the state of the
  // endpoint more reliably than heartbeats.
  const bool Idle = !m_EndpointIncarnation.m_Id.empty() && m_Runs.empty();
  if (Idle && m_Now >= m_HeartbeatAt + m_Options.m_HeartbeatTimeout)
    markEndpointLost("no-heartbeat");
  expireCandidate();
  if (m_Unresponsive && !m_Runs.empty() && m_Now >= m_Clock.latestLeaseExpiry())
    endRunsAsLost("leases-lapsed");
  refuseWaiting(
      [this](const WaitingRun &R) { return m_Now >= R.m_WaitExpiresAt; },
      StartRefusal::NoCapacity);
  for (auto &[Name, Each] : m_Runs)
    if (m_Now >= Each.m_RetryStopAt)
      callStop(Name, Each);
  for (auto &[Address, Link] : m_Links) {
    if (m_Now >= Link.m_LeaseExpiresAt && holdsRunsOf(Link))
      stopRunsOf(Link, "entry-lease-expired");
    if (m_Now >= Link.m_ReportDueAt)
      reportLoad(Link);
    if (Link.m_Link && m_Now >= Link.m_LastMessageAt + LinkIdleTimeout)
      dropLink(Link, "no message from the entry within the idle timeout");
  }
}

void RunnerCore::Impl::runPendingActions() {
  if (candidateReplacesEndpoint())
    adoptCandidate();
  probeCandidate();
  startWaiting();
  if (offeredState() != m_ReportedState)
    reportEndpoint();
  if (!m_HoldPending && needsHold() && m_Now >= m_NextHoldAt)
    callHold();
  finishShutdown();
}

void RunnerCore::Impl::finishShutdown() {
  if (!m_ShuttingDown || m_Drained || !m_Runs.empty())
    return;
  m_Drained = true;
  for (auto &[Address, Link] : m_Links)
    if (Link.m_HelloReceived)
      send(Link, Goodbye{"agent has shut down"});
  m_Commands->push_back(Drained{});
}

void RunnerCore::Impl::log(std::string_view Event,
                           std::initializer_list<LogField> Fields) {
  m_Commands->push_back(LogDecision{Event, std::vector<LogField>(Fields)});
}

} // namespace cyclamencroft
