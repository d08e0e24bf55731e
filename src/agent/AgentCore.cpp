// Event and timer handling of the agent's decision core.
#include "agent/AgentCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {

AgentCore::AgentCore(AgentOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

AgentCore::~AgentCore() = default;

void AgentCore::handle(TimePoint Now, const AgentEvent &Event,
                       std::vector<AgentCommand> &Commands) {
  m_Impl->handle(Now, Event, Commands);
}

TimePoint AgentCore::nextWakeup() const { return m_Impl->nextWakeup(); }

AgentStatusReport AgentCore::status() const { return m_Impl->status(); }

AgentCore::Impl::Impl(AgentOptions Options)
    : m_Options(std::move(Options)), m_NextLink(m_Options.m_FirstLink),
      m_Lease(m_Options.m_EndpointLease), m_Sessions(m_Options.m_Entries),
      m_RandomState(m_Options.m_Seed) {
  for (EntrySession &Session : m_Sessions)
    Session.m_WindowId = m_NextWindowId++;
}

// Timers are processed before the event, so that after a freeze no decision is
// based on a lease or deadline that has passed in the meantime.
void AgentCore::Impl::handle(TimePoint Now, const AgentEvent &Event,
                             std::vector<AgentCommand> &Commands) {
  m_Now = Now;
  m_Commands = &Commands;
  expire();
  std::visit([this](const auto &E) { onEvent(E); }, Event);
  applyChanges();
  m_Commands = nullptr;
}

TimePoint AgentCore::Impl::nextWakeup() const {
  TimePoint Next = std::min(m_Lease.expiry(), m_Waiting.earliestDeadline());
  for (const EntrySession &Session : m_Sessions) {
    if (Session.m_Link) {
      Next = std::min(Next, Session.m_LastSent + HeartbeatInterval);
      Next = std::min(Next, silenceDeadline(Session));
    }
    if (m_ShuttingDown && !m_Drained && awaitsReconcile(Session))
      Next = std::min(Next, Session.m_ReconcileDeadline);
  }
  return Next;
}

AgentStatusReport AgentCore::Impl::status() const {
  AgentStatusReport Report = m_Counters;
  Report.m_Ready = closedReason() == RefusalReason::None;
  Report.m_Service = m_Lease.endpoint().m_Service;
  Report.m_ConfigVersion = m_View.m_Version;
  Report.m_Preset = m_View.m_Preset;
  Report.m_Running = m_Running.size();
  return Report;
}

void AgentCore::Impl::onEvent(const EndpointAnnounced &Event) {
  m_EndpointChanged = !acceptsTasksOf(Event, m_Lease.endpoint());
  m_Lease.announce(m_Now, Event);
  m_Gate.setEndpoint(Event.m_Address, Event.m_Slots, Event.m_Connections);
}

void AgentCore::Impl::onEvent(const EndpointDraining &) { m_Lease.leave(); }

void AgentCore::Impl::onEvent(const ShutdownRequested &) {
  m_ShuttingDown = true;
}

void AgentCore::Impl::onEvent(const Tick &) {}

void AgentCore::Impl::expire() {
  m_Lease.expire(m_Now);
  refuseWaiting([this](const WaitingTask &T) { return T.m_Deadline <= m_Now; },
                RefusalReason::DeadlinePassed);
  for (EntrySession &Session : m_Sessions)
    checkLink(Session);
}

// A state change is sent to the entries before the refusals that it causes, so
// that they don't send the refused tasks to this agent again.
void AgentCore::Impl::applyChanges() {
  const RefusalReason Closed = closedReason();
  const AgentState State =
      Closed == RefusalReason::None ? AgentState::Active : AgentState::Draining;
  if (State != m_LoggedState)
    log("state-changed",
        {{"state", State == AgentState::Active ? "active" : "leaving"},
         {"reason", std::string(toString(Closed))}});
  m_LoggedState = State;
  for (EntrySession &Session : m_Sessions)
    reportChanges(Session);
  if (Closed != RefusalReason::None)
    refuseWaiting([](const WaitingTask &) { return true; }, Closed);
  else if (m_EndpointChanged)
    refuseWaiting([](const WaitingTask &) { return true; },
                  RefusalReason::Draining);
  m_EndpointChanged = false;
  startWaiting();
  finishShutdown();
}

void AgentCore::Impl::finishShutdown() {
  if (!m_ShuttingDown || m_Drained || !m_Running.empty())
    return;
  for (const EntrySession &Session : m_Sessions)
    if (awaitsReconcile(Session))
      return;
  for (EntrySession &Session : m_Sessions)
    if (Session.m_HelloReceived)
      send(Session, Goodbye{"agent has shut down"});
  m_Drained = true;
  m_Commands->push_back(Drained{});
}

bool AgentCore::Impl::awaitsReconcile(const EntrySession &Session) const {
  return m_Now < Session.m_ReconcileDeadline;
}

void AgentCore::Impl::log(std::string_view Event,
                          std::vector<LogField> Fields) {
  m_Commands->push_back(LogDecision{Event, std::move(Fields)});
}

RefusalReason AgentCore::Impl::closedReason() const {
  if (m_ShuttingDown || m_Lease.state() == EndpointLease::State::Left)
    return RefusalReason::Draining;
  if (m_Lease.state() == EndpointLease::State::Absent)
    return RefusalReason::EndpointAbsent;
  return isDrainedDomain() ? RefusalReason::Draining : RefusalReason::None;
}

bool AgentCore::Impl::isDrainedDomain() const {
  const std::vector<std::string> &Domains = m_View.m_DrainedFailureDomains;
  return std::find(Domains.begin(), Domains.end(), m_Options.m_FailureDomain) !=
         Domains.end();
}

std::uint32_t AgentCore::Impl::load() const {
  return m_Gate.running() + static_cast<std::uint32_t>(m_Waiting.size());
}

std::uint32_t AgentCore::Impl::indexOf(const EntrySession &Session) const {
  return static_cast<std::uint32_t>(&Session - m_Sessions.data());
}

// SplitMix64: yields the same sequence for the same seed, so that a session
// replays exactly.
std::uint64_t AgentCore::Impl::drawSpanId() {
  m_RandomState += 0x9e3779b97f4a7c15U;
  std::uint64_t Value = m_RandomState;
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebU;
  Value ^= Value >> 31U;
  return Value == 0 ? 1 : Value;
}

} // namespace cyclamencroft
