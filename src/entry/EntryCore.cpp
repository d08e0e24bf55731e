// Event loop step of the decision core: handles one event, then makes the
// dispatches that it allows.
#include "entry/EntryCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Minimum time between two checks of the router when only the passage of time
/// may have changed its state. Prevents a busy loop when the router returns a
/// time in the past.
constexpr Duration RouterCheckInterval = std::chrono::milliseconds(1);

} // namespace

EntryCore::EntryCore(EntryOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}

EntryCore::~EntryCore() = default;

void EntryCore::handle(TimePoint Now, const EntryEvent &Event,
                       std::vector<EntryCommand> &Commands) {
  m_Impl->handle(Now, Event, Commands);
}

TimePoint EntryCore::nextWakeup() const { return m_Impl->nextWakeup(); }

EntryStatus EntryCore::status() const { return m_Impl->status(); }

EntryCore::Impl::Impl(EntryOptions Options)
    : m_Options(std::move(Options)), m_Router(m_Options.m_Seed),
      m_Quotas(m_Options.m_ConfiguredEntries),
      // The incarnation makes span ids differ between processes with the same
      // seed.
      m_SpanState(m_Options.m_Seed ^
                  static_cast<std::uint64_t>(m_Options.m_Incarnation)) {}

void EntryCore::Impl::handle(TimePoint Now, const EntryEvent &Event,
                             std::vector<EntryCommand> &Commands) {
  m_Now = Now;
  m_Commands = &Commands;
  std::visit([this](const auto &Each) { on(Each); }, Event);
  finishEvent();
  m_Commands = nullptr;
}

TimePoint EntryCore::Impl::nextWakeup() const {
  const TimePoint First = m_Timers.nextDue();
  const auto Waits = [](const Service &Each) {
    return Each.m_Queue.waitingTasks() > 0;
  };
  if (std::none_of(m_Services.begin(), m_Services.end(), Waits))
    return First;
  return std::min(First, std::max(m_Router.nextChange(), m_NextRouterCheck));
}

EntryStatus EntryCore::Impl::status() const {
  EntryStatus Status = m_Counters;
  Status.m_Ready = ready();
  Status.m_ConfigVersion = m_Versions.current();
  if (m_Config)
    Status.m_Preset = m_Config->m_PresetName;
  Status.m_Agents = m_Links.size() - m_PeerList.size();
  for (const auto &[Link, Owner] : m_Links)
    if (!Owner.m_IsPeer && m_Rows[Owner.m_Index].takesWork())
      ++Status.m_AvailableAgents;
  Status.m_Queued = 0;
  for (const Service &Each : m_Services)
    Status.m_Queued += Each.m_Queue.waitingTasks();
  Status.m_Outstanding = m_Attempts.size();
  return Status;
}

bool EntryCore::Impl::ready() const {
  const bool Current = m_Config && m_Now < m_Versions.overdueAt();
  return Current && !m_Draining && m_Preset->m_AdmitsWork;
}

void EntryCore::Impl::on(const CallerDisconnected &Event) {
  const SubmissionIndex Index = m_Submissions.find(Event.m_Caller);
  if (Index == NoIndex)
    return;
  m_Submissions[Index].m_CallerConnected = false;
  cancel(Index, "the caller's connection closed");
}

void EntryCore::Impl::on(const CancelRequested &Event) {
  const SubmissionIndex Index = m_Submissions.find(Event.m_Request);
  if (Index != NoIndex)
    cancel(Index, "cancelled on request");
}

void EntryCore::Impl::on(const AgentConnected &Event) {
  agentHello(Event.m_Link, Event.m_Hello);
}

void EntryCore::Impl::on(const MessageReceived &Event) {
  const auto Found = m_Links.find(Event.m_Link);
  // Messages in flight when the link was replaced or closed are covered by the
  // reconciliation on the next link.
  if (Found == m_Links.end())
    return;
  const LinkOwner Owner = Found->second;
  if (Owner.m_IsPeer)
    peerMessage(Owner.m_Index, Event.m_Message);
  else
    agentMessage(Owner.m_Index, Event.m_Message);
}

void EntryCore::Impl::on(const LinkClosed &Event) {
  const auto Found = m_Links.find(Event.m_Link);
  if (Found == m_Links.end())
    return;
  const LinkOwner Owner = Found->second;
  m_Links.erase(Found);
  if (Owner.m_IsPeer)
    peerLost(Owner.m_Index);
  else
    agentLost(Owner.m_Index);
}

void EntryCore::Impl::on(const ShutdownRequested &) {
  if (m_Draining)
    return;
  m_Draining = true;
  log("shutdown-requested",
      {{"in-flight", std::to_string(m_Submissions.size())}});
}

void EntryCore::Impl::on(const Tick &) {
  while (const std::optional<Timer> Due = m_Timers.takeDue(m_Now))
    fire(*Due);
  if (m_Router.nextChange() > m_Now || m_Now < m_NextRouterCheck)
    return;
  m_NextRouterCheck = m_Now + RouterCheckInterval;
  for (ServiceIndex Index = 0; Index < m_Services.size(); ++Index)
    slotsChanged(Index);
}

void EntryCore::Impl::fire(const Timer &Due) {
  switch (Due.m_Kind) {
  case TimerKind::Deadline:
    m_Submissions[Due.m_Target].m_DeadlineTimer = NoTimer;
    return deadlineReached(Due.m_Target);
  case TimerKind::Hedge:
    m_Submissions[Due.m_Target].m_HedgeTimer = NoTimer;
    return startHedge(Due.m_Target);
  case TimerKind::Orphan:
    m_Attempts[Due.m_Target].m_OrphanTimer = NoTimer;
    return orphanExpired(Due.m_Target);
  case TimerKind::Grace:
    m_Rows[Due.m_Target].m_GraceTimer = NoTimer;
    return graceEnded(Due.m_Target);
  case TimerKind::LivenessCheck:
    m_Rows[Due.m_Target].m_LivenessTimer = NoTimer;
    return checkLiveness(Due.m_Target);
  case TimerKind::AgentIdle:
    m_Rows[Due.m_Target].m_IdleTimer = NoTimer;
    return agentIdleCheck(Due.m_Target);
  case TimerKind::PeerIdle:
    m_Peers[Due.m_Target].m_IdleTimer = NoTimer;
    return peerIdleCheck(Due.m_Target);
  case TimerKind::QuotaReport:
    m_QuotaTimer = NoTimer;
    return sendQuotaReports();
  case TimerKind::ConfigOverdue:
    m_ConfigTimer = NoTimer;
    return configOverdue();
  case TimerKind::OutcomeLogFlush:
    m_LogTimer = NoTimer;
    return flushLog();
  }
}

void EntryCore::Impl::finishEvent() {
  dispatchMarkedServices();
  if (m_OutcomeLog.pending() && m_LogTimer == NoTimer)
    m_LogTimer =
        m_Timers.add(m_Now + OutcomeLog::Period, TimerKind::OutcomeLogFlush);
  if (!m_Draining || m_Drained || m_Submissions.size() > 0)
    return;
  m_Drained = true;
  flushLog();
  std::vector<LinkId> Open;
  for (const auto &[Link, Owner] : m_Links)
    Open.push_back(Link);
  // Sorted, so that a session replays deterministically.
  std::sort(Open.begin(), Open.end());
  for (const LinkId Link : Open)
    m_Commands->emplace_back(SendMessage{Link, Goodbye{"entry shuts down"}});
  m_Commands->emplace_back(Drained{});
}

} // namespace cyclamencroft
