// Lost links, unresponsive agents and heartbeats.
#include "entry/EntryCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Time that an agent has to reconnect before the outcomes of its tasks are
/// unknown.
constexpr Duration GracePeriod = std::chrono::seconds(2);

/// Time without a message from an agent with outstanding tasks until it is
/// pinged, and from the ping until the agent is suspected.
constexpr Duration PingIdleTimeout = std::chrono::seconds(1);
constexpr Duration SuspectTimeout = std::chrono::milliseconds(500);

/// Time until the link of a suspected agent is closed. The remote end of a
/// partitioned network sends no close, and outcomes must not stay open until
/// the deadline.
constexpr Duration CloseSuspectedTimeout = std::chrono::seconds(10);

/// Disconnected agents keep their sequence numbers in case the same incarnation
/// reconnects. Covers 11 days at 360 restarts and replacements a day.
constexpr std::size_t MaxDormantRows = 4096;

} // namespace

void EntryCore::Impl::agentLost(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  log("agent-link-lost",
      {{"agent", Row.m_Id},
       {"in-doubt", std::to_string(Row.m_Ledger.outstanding())}});
  Row.m_Link.reset();
  Row.m_LostAt = m_Now;
  Row.m_Reconciling = false;
  Row.m_Liveness = LivenessState::Idle;
  m_Timers.cancel(Row.m_LivenessTimer);
  m_Timers.cancel(Row.m_IdleTimer);
  refreshAvailability(Row);
  if (Row.m_GoodbyeReceived && Row.m_Ledger.outstanding() == 0)
    return makeDormant(Index);
  Row.m_GraceTimer = m_Timers.add(m_Now + GracePeriod, TimerKind::Grace, Index);
}

void EntryCore::Impl::graceEnded(AgentRowIndex Index) {
  settleOutstandingAsUnknown(m_Rows[Index],
                             "the link to the agent was lost and not restored");
  makeDormant(Index);
}

void EntryCore::Impl::makeDormant(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  dropRoute(Row);
  const auto Held = m_RowByAddress.find(Row.m_Hello.m_EndpointAddress);
  if (Held != m_RowByAddress.end() && Held->second == Index)
    m_RowByAddress.erase(Held);
  Row.m_Hello = AgentHello();
  m_Dormant.push_back(DormantRow{Index, Row.m_LostAt});
  if (m_Dormant.size() <= MaxDormantRows)
    return;
  const DormantRow Oldest = m_Dormant.front();
  m_Dormant.pop_front();
  AgentRow &Old = m_Rows[Oldest.m_Row];
  const bool StillDisconnected = !Old.m_Link && Old.m_LostAt == Oldest.m_LostAt;
  if (!StillDisconnected || Old.m_Ledger.outstanding() > 0)
    return;
  m_RowById.erase(Old.m_Id);
  Old = AgentRow();
  m_Rows.remove(Oldest.m_Row);
}

void EntryCore::Impl::recordAgentActivity(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  Row.m_LastMessageAt = m_Now;
  if (Row.m_Liveness == LivenessState::Pinged)
    Row.m_Liveness = LivenessState::Monitored;
  if (Row.m_Liveness != LivenessState::Suspected)
    return;
  log("agent-responds", {{"agent", Row.m_Id}});
  m_Timers.cancel(Row.m_LivenessTimer);
  startLivenessTimer(Index);
  refreshAvailability(Row);
}

void EntryCore::Impl::startLivenessTimer(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  Row.m_BusySince = m_Now;
  if (Row.m_LivenessTimer != NoTimer)
    return;
  Row.m_Liveness = LivenessState::Monitored;
  Row.m_LivenessTimer =
      m_Timers.add(m_Now + PingIdleTimeout, TimerKind::LivenessCheck, Index);
}

void EntryCore::Impl::checkLiveness(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  switch (Row.m_Liveness) {
  case LivenessState::Idle:
    return;
  case LivenessState::Monitored:
    return pingOrWait(Index);
  case LivenessState::Pinged:
    Row.m_Liveness = LivenessState::Suspected;
    log("agent-suspected",
        {{"agent", Row.m_Id},
         {"outstanding", std::to_string(Row.m_Ledger.outstanding())}});
    refreshAvailability(Row);
    Row.m_LivenessTimer = m_Timers.add(m_Now + CloseSuspectedTimeout,
                                       TimerKind::LivenessCheck, Index);
    return;
  case LivenessState::Suspected:
    return dropLink(Index, "the agent does not respond");
  }
}

void EntryCore::Impl::pingOrWait(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  if (Row.m_Ledger.outstanding() == 0) {
    Row.m_Liveness = LivenessState::Idle;
    return;
  }
  const TimePoint Due =
      std::max(Row.m_LastMessageAt, Row.m_BusySince) + PingIdleTimeout;
  if (Due > m_Now) {
    Row.m_LivenessTimer = m_Timers.add(Due, TimerKind::LivenessCheck, Index);
    return;
  }
  Row.m_Liveness = LivenessState::Pinged;
  sendToAgent(Row, Ping{++m_PingNumber});
  Row.m_LivenessTimer =
      m_Timers.add(m_Now + SuspectTimeout, TimerKind::LivenessCheck, Index);
}

void EntryCore::Impl::agentIdleCheck(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  if (m_Now - Row.m_LastMessageAt >= LinkTimeout)
    return dropLink(Index, "no heartbeat from the agent");
  if (m_Now - Row.m_LastSentAt >= HeartbeatInterval)
    sendToAgent(Row, Heartbeat{m_Versions.current()});
  Row.m_IdleTimer = m_Timers.add(Row.m_LastSentAt + HeartbeatInterval,
                                 TimerKind::AgentIdle, Index);
}

void EntryCore::Impl::dropLink(AgentRowIndex Index, std::string Reason) {
  closeLink(*m_Rows[Index].m_Link, std::move(Reason));
  agentLost(Index);
}

} // namespace cyclamencroft
