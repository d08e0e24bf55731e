// Agents: hellos, reconciliation after a lost link, and availability for new
// work.
#include "entry/EntryCoreImpl.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cyclamencroft {
namespace {

/// True when the router must treat the agent as a new one.
bool routeChanged(const AgentHello &Old, const AgentHello &New) {
  return Old.m_Size != New.m_Size || Old.m_Service != New.m_Service ||
         Old.m_FailureDomain != New.m_FailureDomain ||
         Old.m_Rack != New.m_Rack ||
         Old.m_EndpointAddress != New.m_EndpointAddress ||
         Old.m_Incarnation != New.m_Incarnation;
}

} // namespace

void EntryCore::Impl::agentHello(LinkId Link, const AgentHello &Hello) {
  if (Hello.m_Protocol != ProtocolVersion)
    return rejectHello(Link, Hello);
  const AgentRowIndex Index = findOrAddRow(Hello.m_AgentId);
  AgentRow &Row = m_Rows[Index];
  if (isGivenUp({Hello.m_Incarnation, Hello.m_Link},
                {Row.m_Incarnation, Row.m_LinkNumber},
                Row.m_Link || Row.m_Ledger.outstanding() > 0))
    return rejectGivenUpLink(Link, Row, Hello);
  // Closed first, so that nothing below is sent on the replaced link.
  if (Row.m_Link && *Row.m_Link != Link) {
    closeLink(*Row.m_Link, "the agent opened another link");
    Row.m_Link.reset();
  }
  const HelloRelation Relation = Row.classifyHello(Hello);
  if (Relation != HelloRelation::SameWindow)
    settleOutstandingAsUnknown(Row,
                               "the agent has lost its record of the task");
  if (Relation == HelloRelation::NewIncarnation)
    Row.m_Ledger.restart();
  const bool NewLink = Row.m_Link != Link;
  if (NewLink)
    attachLink(Index, Link);
  updateIdentity(Index, Hello);
  if (NewLink)
    sendEntryHello(Index);
  refreshAvailability(Row);
}

void EntryCore::Impl::rejectHello(LinkId Link, const AgentHello &Hello) {
  const std::string Reason = protocolMismatch(Hello.m_Protocol);
  log("hello-rejected", {{"agent", Hello.m_AgentId}, {"reason", Reason}});
  const auto Known = m_Links.find(Link);
  if (Known == m_Links.end())
    return closeLink(Link, Reason);
  dropLink(Known->second.m_Index, Reason);
}

/// Its window may be an earlier one, and no tasks are to be sent on it.
void EntryCore::Impl::rejectGivenUpLink(LinkId Link, const AgentRow &Row,
                                        const AgentHello &Hello) {
  log("old-link-rejected",
      {{"agent", Row.m_Id},
       {"link", describe(Hello.m_Link)},
       {"accepted", describe(Row.m_LinkNumber)},
       {"connected", Row.m_Link ? "yes" : "no"},
       {"in-doubt", std::to_string(Row.m_Ledger.outstanding())}});
  closeLink(Link, "the agent has opened a later link");
}

AgentRowIndex EntryCore::Impl::findOrAddRow(const std::string &Id) {
  const auto Found = m_RowById.find(Id);
  if (Found != m_RowById.end())
    return Found->second;
  const AgentRowIndex Index = m_Rows.add();
  m_Rows[Index] = AgentRow();
  m_Rows[Index].m_Id = Id;
  m_RowById.emplace(Id, Index);
  return Index;
}

void EntryCore::Impl::attachLink(AgentRowIndex Index, LinkId Link) {
  AgentRow &Row = m_Rows[Index];
  Row.m_Link = Link;
  m_Links[Link] = LinkOwner{false, Index};
  m_Timers.cancel(Row.m_GraceTimer);
  m_Timers.cancel(Row.m_LivenessTimer);
  Row.m_Liveness = LivenessState::Idle;
  Row.m_GoodbyeReceived = false;
  Row.m_Reconciling = false;
  Row.m_LastSentAt = m_Now;
  Row.m_LastMessageAt = m_Now;
  if (Row.m_IdleTimer == NoTimer)
    agentIdleCheck(Index);
}

void EntryCore::Impl::updateIdentity(AgentRowIndex Index,
                                     const AgentHello &Hello) {
  AgentRow &Row = m_Rows[Index];
  recordAgentActivity(Index);
  Row.m_Incarnation = Hello.m_Incarnation;
  Row.m_LinkNumber = Hello.m_Link;
  Row.m_WindowId = Hello.m_WindowId;
  Row.m_State = Hello.m_State;
  Row.m_ConfigVersion = Hello.m_ConfigVersion;
  versionAnnounced(Hello.m_ConfigVersion, Row.m_Id);
  const std::string OldAddress = Row.m_Hello.m_EndpointAddress;
  updateRoute(Index, Hello);
  Row.m_Hello = Hello;
  claimAddress(Index, OldAddress);
  const std::vector<std::string> None;
  const auto &Drained = m_Preset ? m_Preset->m_DrainedFailureDomains : None;
  Row.m_DomainDrained = std::find(Drained.begin(), Drained.end(),
                                  Hello.m_FailureDomain) != Drained.end();
}

void EntryCore::Impl::updateRoute(AgentRowIndex Index,
                                  const AgentHello &Hello) {
  AgentRow &Row = m_Rows[Index];
  if (Row.m_Route && !routeChanged(Row.m_Hello, Hello)) {
    m_Router.updateStatus(
        *Row.m_Route,
        AgentStatus{Hello.m_State, Hello.m_Slots, Hello.m_Running}, m_Now);
    return slotsChanged(Row.m_Service);
  }
  dropRoute(Row);
  if (Hello.m_Service.empty())
    return;
  Row.m_Service = findOrAddService(Hello.m_Service);
  Row.m_Route = m_Router.addAgent(Hello, m_Now);
  Row.m_Available = true;
  if (m_RowByRoute.size() <= *Row.m_Route)
    m_RowByRoute.resize(*Row.m_Route + 1, NoIndex);
  m_RowByRoute[*Row.m_Route] = Index;
  slotsChanged(Row.m_Service);
}

void EntryCore::Impl::dropRoute(AgentRow &Row) {
  if (!Row.m_Route)
    return;
  for (const Sequence Number : Row.m_Ledger.outstandingSequences())
    abandonRoute(m_Attempts[Row.m_Ledger.find(Number)]);
  m_Router.removeAgent(*Row.m_Route);
  m_RowByRoute[*Row.m_Route] = NoIndex;
  Row.m_Route.reset();
  Row.m_Service = NoIndex;
}

void EntryCore::Impl::claimAddress(AgentRowIndex Index,
                                   const std::string &Old) {
  AgentRow &Row = m_Rows[Index];
  const std::string &Address = Row.m_Hello.m_EndpointAddress;
  const auto Held = m_RowByAddress.find(Old);
  if (Old != Address && Held != m_RowByAddress.end() && Held->second == Index)
    m_RowByAddress.erase(Held);
  Row.m_Superseded = false;
  if (Address.empty())
    return;
  const auto [Found, Added] = m_RowByAddress.emplace(Address, Index);
  if (Added || Found->second == Index)
    return;
  AgentRow &Earlier = m_Rows[std::exchange(Found->second, Index)];
  Earlier.m_Superseded = true;
  refreshAvailability(Earlier);
  log("endpoint-claimed-twice",
      {{"address", Address}, {"earlier", Earlier.m_Id}, {"later", Row.m_Id}});
}

void EntryCore::Impl::sendEntryHello(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  EntryHello Hello;
  Hello.m_EntryId = m_Options.m_EntryId;
  Hello.m_Incarnation = m_Options.m_Incarnation;
  Hello.m_ConfigVersion = m_Versions.current();
  Hello.m_Entries = m_Entries;
  Hello.m_SentAt = m_Now;
  sendToAgent(Row, std::move(Hello));
  sendView(Row);
  if (Row.m_Ledger.outstanding() > 0)
    startReconcile(Index);
  log("agent-connected",
      {{"agent", Row.m_Id},
       {"service", Row.m_Hello.m_Service},
       {"endpoint", Row.m_Hello.m_EndpointAddress},
       {"in-doubt", std::to_string(Row.m_Ledger.outstanding())}});
}

void EntryCore::Impl::startReconcile(AgentRowIndex Index) {
  AgentRow &Row = m_Rows[Index];
  Row.m_Reconciling = true;
  sendToAgent(Row, Reconcile{Row.m_Ledger.outstandingSequences()});
  // The agent must reply even if it was idle before.
  startLivenessTimer(Index);
}

void EntryCore::Impl::reconcileReplied(AgentRowIndex Index,
                                       const ReconcileReply &Reply) {
  AgentRow &Row = m_Rows[Index];
  if (!std::exchange(Row.m_Reconciling, false))
    return;
  std::vector<Sequence> Kept;
  RequestId LastCancelled;
  for (const SequenceReport &Report : Reply.m_Reports) {
    const AttemptIndex Found = Row.m_Ledger.find(Report.m_Sequence);
    if (Found == NoIndex)
      continue;
    if (Report.m_State == SequenceState::Fenced) {
      ++m_Counters.m_Refusals;
      abandonRoute(m_Attempts[Found]);
      attemptNotStarted(Found, RefusalReason::NoEndpoint);
    } else if (Report.m_State == SequenceState::Unknown) {
      settleAsUnknown(Found, "the agent has lost its record of the task");
    } else {
      Kept.push_back(Report.m_Sequence);
      // Cancellations issued while the link was down did not reach the agent.
      const Attempt &Open = m_Attempts[Found];
      if (Open.m_Submission == NoIndex &&
          std::exchange(LastCancelled, Open.m_Request) != Open.m_Request)
        sendToAgent(Row, CancelTasks{Open.m_Request});
    }
  }
  std::sort(Kept.begin(), Kept.end());
  for (const Sequence Number : Row.m_Ledger.outstandingSequences())
    if (!std::binary_search(Kept.begin(), Kept.end(), Number))
      settleAsUnknown(Row.m_Ledger.find(Number),
                      "the agent did not report the task");
  refreshAvailability(Row);
}

void EntryCore::Impl::settleOutstandingAsUnknown(AgentRow &Row,
                                                 std::string_view Cause) {
  if (Row.m_Ledger.outstanding() == 0)
    return;
  log("outcomes-unknown",
      {{"agent", Row.m_Id},
       {"tasks", std::to_string(Row.m_Ledger.outstanding())},
       {"reason", std::string(Cause)}});
  for (const Sequence Number : Row.m_Ledger.outstandingSequences()) {
    // The failure of a job may have settled other attempts of this list.
    const AttemptIndex Found = Row.m_Ledger.find(Number);
    if (Found != NoIndex)
      settleAsUnknown(Found, Cause);
  }
}

void EntryCore::Impl::refreshAvailability(AgentRow &Row) {
  if (!Row.m_Route)
    return;
  const bool Available = Row.takesWork();
  if (std::exchange(Row.m_Available, Available) == Available)
    return;
  m_Router.setAvailable(*Row.m_Route, Available);
  if (Available)
    slotsChanged(Row.m_Service);
}

void EntryCore::Impl::agentStatus(AgentRow &Row, const AgentStatus &Status) {
  if (Row.m_State != Status.m_State)
    log("agent-state",
        {{"agent", Row.m_Id},
         {"state",
          Status.m_State == AgentState::Active ? "active" : "leaving"}});
  Row.m_State = Status.m_State;
  Row.m_Hello.m_Slots = Status.m_Slots;
  if (Row.m_Route)
    m_Router.updateStatus(*Row.m_Route, Status, m_Now);
  refreshAvailability(Row);
  slotsChanged(Row.m_Service);
}

void EntryCore::Impl::agentMessage(AgentRowIndex Index,
                                   const LinkMessage &Message) {
  AgentRow &Row = m_Rows[Index];
  recordAgentActivity(Index);
  if (const auto *Result = std::get_if<TaskResult>(&Message))
    return resultReceived(Index, *Result);
  if (const auto *Refusal = std::get_if<TaskRefused>(&Message))
    return refusalReceived(Index, *Refusal);
  ++m_Counters.m_ControlMessages;
  if (const auto *Hello = std::get_if<AgentHello>(&Message))
    return agentHello(*Row.m_Link, *Hello);
  if (const auto *Reply = std::get_if<ReconcileReply>(&Message))
    return reconcileReplied(Index, *Reply);
  if (const auto *Status = std::get_if<AgentStatus>(&Message))
    return agentStatus(Row, *Status);
  if (const auto *PingMessage = std::get_if<Ping>(&Message))
    return sendToAgent(Row, Pong{PingMessage->m_Number});
  if (const auto *HeartbeatMessage = std::get_if<Heartbeat>(&Message)) {
    Row.m_ConfigVersion = HeartbeatMessage->m_ConfigVersion;
    versionAnnounced(HeartbeatMessage->m_ConfigVersion, Row.m_Id);
    return sendView(Row);
  }
  if (std::holds_alternative<Goodbye>(Message)) {
    Row.m_GoodbyeReceived = true;
    refreshAvailability(Row);
  }
}

} // namespace cyclamencroft
