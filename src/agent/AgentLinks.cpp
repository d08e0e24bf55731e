// Link handling of the agent's core, and the agent's state as reported to each
// entry.
//
// Order of hellos. An entry must know the window id before it dispatches,
// because its dispatches are admitted by that window. On a link for a window
// that no entry incarnation has used, the first hello is final. Otherwise the
// first hello reports the state "leaving", so that no entry dispatches on it.
// The entry's hello then contains its incarnation, and the agent either keeps
// the window and sends its actual state, or starts a new window and sends a
// second hello with the new window id.
#include "agent/AgentCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// True when \p Current differs from \p Reported in a field that only a hello
/// carries.
bool needsHello(const AgentHello &Reported, const AgentHello &Current) {
  return Reported.m_WindowId != Current.m_WindowId ||
         Reported.m_Service != Current.m_Service ||
         Reported.m_EndpointAddress != Current.m_EndpointAddress ||
         Reported.m_Connections != Current.m_Connections ||
         Reported.m_Size != Current.m_Size;
}

} // namespace

void AgentCore::Impl::onEvent(const EntryLinkOpened &Event) {
  if (Event.m_Entry >= m_Sessions.size())
    return;
  EntrySession &Session = m_Sessions[Event.m_Entry];
  if (Session.m_Link)
    handleLinkLoss(Session);
  Session.m_Link = Event.m_Link;
  Session.m_LinkNumber = std::exchange(m_NextLink, next(m_NextLink));
  Session.m_LastReceived = m_Now;
  AgentHello Hello = makeHello(Session);
  if (Session.m_Entry)
    Hello.m_State = AgentState::Draining;
  sendHello(Session, std::move(Hello));
}

void AgentCore::Impl::onEvent(const MessageReceived &Event) {
  EntrySession *Session = findSession(Event.m_Link);
  if (!Session)
    return;
  Session->m_LastReceived = m_Now;
  if (!Session->m_HelloReceived &&
      !std::holds_alternative<EntryHello>(Event.m_Message)) {
    closeLink(*Session, "message before the entry's hello");
    return;
  }
  std::visit([&](const auto &Message) { onMessage(*Session, Message); },
             Event.m_Message);
}

void AgentCore::Impl::onEvent(const LinkClosed &Event) {
  if (EntrySession *Session = findSession(Event.m_Link))
    handleLinkLoss(*Session);
}

void AgentCore::Impl::onMessage(EntrySession &Session,
                                const EntryHello &Hello) {
  if (Hello.m_Protocol != ProtocolVersion) {
    closeLink(Session, "entry " + Hello.m_EntryId + " has protocol version " +
                           std::to_string(Hello.m_Protocol) +
                           ", this agent has " +
                           std::to_string(ProtocolVersion));
    return;
  }
  if (Session.m_Entry && *Session.m_Entry != Hello.m_Incarnation)
    resetWindow(Session, Hello.m_Incarnation);
  Session.m_Entry = Hello.m_Incarnation;
  Session.m_EntryId = Hello.m_EntryId;
  Session.m_Delay.excessDelay(m_Now, Hello.m_SentAt);
  Session.m_HelloReceived = true;
  log("entry-connected", {{"peer", Hello.m_EntryId},
                          {"window", std::to_string(Session.m_WindowId)}});
}

void AgentCore::Impl::onMessage(EntrySession &, const ConfigView &View) {
  if (View.m_Version <= m_View.m_Version)
    return;
  m_View = View;
  log("config-adopted",
      {{"version", std::to_string(View.m_Version)}, {"preset", View.m_Preset}});
}

void AgentCore::Impl::onMessage(EntrySession &, const Heartbeat &) {}

void AgentCore::Impl::onMessage(EntrySession &Session, const Ping &Message) {
  send(Session, Pong{Message.m_Number});
}

void AgentCore::Impl::onMessage(EntrySession &Session, const Pong &Message) {
  if (Session.m_EndpointChangePing == Message.m_Number)
    Session.m_EndpointChangePing.reset();
}

void AgentCore::Impl::onMessage(EntrySession &Session, const Goodbye &Message) {
  log("entry-goodbye",
      {{"peer", Session.m_EntryId}, {"reason", Message.m_Reason}});
}

EntrySession *AgentCore::Impl::findSession(LinkId Link) {
  for (EntrySession &Session : m_Sessions)
    if (Session.m_Link == Link)
      return &Session;
  return nullptr;
}

// Running tasks of the old window run to their end; their key holds the old
// window id, so their results are discarded.
void AgentCore::Impl::resetWindow(EntrySession &Session, Incarnation Entry) {
  const std::uint64_t Old = Session.m_WindowId;
  m_Waiting.take(
      [Old](const WaitingTask &T) { return T.m_Key.m_WindowId == Old; });
  Session.m_WindowId = m_NextWindowId++;
  Session.m_Entry = Entry;
  Session.m_Window = SequenceWindow();
  Session.m_Results = RetainedResults();
  Session.m_Delay = DelayEstimate();
  Session.m_ReconcileDeadline = TimePoint::min();
  log("window-reset", {{"entry-index", std::to_string(indexOf(Session))},
                       {"window", std::to_string(Session.m_WindowId)}});
}

// Waiting tasks are fenced, so that no task is started for an entry that may
// have abandoned it. The entry receives this state when it reconciles.
void AgentCore::Impl::handleLinkLoss(EntrySession &Session) {
  if (Session.m_HelloReceived)
    Session.m_ReconcileDeadline = m_Now + EntryGracePeriod;
  Session.m_Link.reset();
  Session.m_HelloReceived = false;
  Session.m_EndpointChangePing.reset();
  const std::uint64_t Window = Session.m_WindowId;
  for (const WaitingTask &Task : m_Waiting.take([Window](const WaitingTask &T) {
         return T.m_Key.m_WindowId == Window;
       }))
    Session.m_Window.mark(Task.m_Key.m_Sequence, DispatchState::Fenced);
}

void AgentCore::Impl::closeLink(EntrySession &Session, std::string Reason) {
  log("link-refused",
      {{"entry-index", std::to_string(indexOf(Session))}, {"reason", Reason}});
  m_Commands->push_back(CloseLink{*Session.m_Link, std::move(Reason)});
  handleLinkLoss(Session);
}

void AgentCore::Impl::checkLink(EntrySession &Session) {
  if (!Session.m_Link)
    return;
  if (m_Now >= silenceDeadline(Session))
    closeLink(Session, "the entry has been silent too long");
  else if (m_Now >= Session.m_LastSent + HeartbeatInterval)
    send(Session, Heartbeat{m_View.m_Version});
}

TimePoint AgentCore::Impl::silenceDeadline(const EntrySession &Session) const {
  const bool AwaitsAnswer =
      !Session.m_HelloReceived || Session.m_EndpointChangePing;
  return Session.m_LastReceived + (AwaitsAnswer ? AnswerLimit : SilenceLimit);
}

AgentHello AgentCore::Impl::makeHello(const EntrySession &Session) const {
  const EndpointAnnounced &Endpoint = m_Lease.endpoint();
  AgentHello Hello;
  Hello.m_AgentId = m_Options.m_AgentId;
  Hello.m_Incarnation = m_Options.m_Incarnation;
  Hello.m_Link = Session.m_LinkNumber;
  Hello.m_WindowId = Session.m_WindowId;
  Hello.m_Service = Endpoint.m_Service;
  Hello.m_FailureDomain = m_Options.m_FailureDomain;
  Hello.m_Rack = m_Options.m_Rack;
  Hello.m_EndpointAddress = Endpoint.m_Address;
  Hello.m_Slots = Endpoint.m_Slots;
  Hello.m_Connections = Endpoint.m_Connections;
  Hello.m_Size = Endpoint.m_Size;
  Hello.m_Running = load();
  Hello.m_State = closedReason() == RefusalReason::None ? AgentState::Active
                                                        : AgentState::Draining;
  Hello.m_ConfigVersion = m_View.m_Version;
  return Hello;
}

void AgentCore::Impl::sendHello(EntrySession &Session, AgentHello Hello) {
  Session.m_LastReported = Hello;
  send(Session, std::move(Hello));
}

void AgentCore::Impl::reportChanges(EntrySession &Session) {
  if (!Session.m_HelloReceived)
    return;
  AgentHello Hello = makeHello(Session);
  AgentHello &Reported = Session.m_LastReported;
  if (needsHello(Reported, Hello)) {
    const bool Changed = !acceptsTasksOf(Hello, Reported);
    sendHello(Session, std::move(Hello));
    if (Changed) {
      Session.m_EndpointChangePing = m_NextPing++;
      send(Session, Ping{*Session.m_EndpointChangePing});
    }
    return;
  }
  if (Reported.m_State == Hello.m_State && Reported.m_Slots == Hello.m_Slots)
    return;
  Reported = Hello;
  send(Session, AgentStatus{Hello.m_State, Hello.m_Slots, Hello.m_Running});
}

void AgentCore::Impl::send(EntrySession &Session, LinkMessage Message) {
  if (!Session.m_Link)
    return;
  Session.m_LastSent = m_Now;
  if (!std::holds_alternative<TaskResult>(Message) &&
      !std::holds_alternative<TaskRefused>(Message))
    ++m_Counters.m_ControlMessages;
  m_Commands->push_back(SendMessage{*Session.m_Link, std::move(Message)});
}

} // namespace cyclamencroft
