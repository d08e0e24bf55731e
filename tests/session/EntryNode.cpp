// Carries out the commands of an entry's core.
#include "EntryNode.h"

namespace cyclamencroft::session {

EntryNode::EntryNode(SessionContext &Context, const EntryOptions &Options,
                     Duration ClockOffset)
    : SessionNode(Context, Options.m_EntryId, ClockOffset), m_Options(Options),
      m_Core(Options) {}

void EntryNode::request(const RequestArrived &Request, const Submission &What) {
  receive([this, Request, What] {
    note("gets request " + What.m_Name);
    m_Context.m_Checker.submitted(Request.m_Caller, What);
    feed(Request);
  });
}

void EntryNode::job(const JobSubmitted &Job, const Submission &What) {
  receive([this, Job, What] {
    note("gets job " + What.m_Name);
    m_Context.m_Checker.submitted(Job.m_Caller, What);
    feed(Job);
  });
}

void EntryNode::cancel(const RequestId &Request) {
  receive([this, Request] {
    note("is asked to cancel " + m_Context.m_Transcript.nameOf(Request));
    feed(CancelRequested{Request});
  });
}

void EntryNode::callerGone(CallerId Caller) {
  receive([this, Caller] { feed(CallerDisconnected{Caller}); });
}

void EntryNode::adopt(const ConfigStatePtr &State) {
  receive([this, State] {
    note("learns configuration " + std::to_string(State->m_Version) +
         " preset=" + State->m_PresetName);
    feed(ConfigAdopted{State});
  });
}

void EntryNode::shutDown() {
  receive([this] {
    note("is asked to shut down");
    feed(ShutdownRequested{});
  });
}

void EntryNode::onOpened(LinkId Link, const std::string &, bool IsDialer) {
  // An accepting entry waits for the other side's hello; a dialling daemon
  // sends its own first.
  if (!IsDialer)
    return;
  EntryHello Hello;
  Hello.m_EntryId = m_Options.m_EntryId;
  Hello.m_Incarnation = m_Options.m_Incarnation;
  Hello.m_ConfigVersion = m_Core.status().m_ConfigVersion;
  Hello.m_Entries = 1;
  send(SendMessage{Link, Hello});
}

void EntryNode::onClosed(LinkId Link) {
  if (m_HelloReceived.erase(Link) > 0)
    feed(LinkClosed{Link});
}

void EntryNode::onMessage(LinkId Link, const LinkMessage &Message) {
  if (m_HelloReceived.insert(Link).second) {
    firstMessage(Link, Message);
    return;
  }
  feed(MessageReceived{Link, Message});
  // The daemon also parses a transferred document; the core gets the result.
  if (const auto *Transfer = std::get_if<ConfigTransfer>(&Message))
    if (const auto State = m_Context.m_Config.find(Transfer->m_Version))
      feed(ConfigAdopted{State});
}

void EntryNode::firstMessage(LinkId Link, const LinkMessage &Message) {
  if (const auto *Hello = std::get_if<AgentHello>(&Message))
    feed(AgentConnected{Link, *Hello});
  else if (const auto *Hello = std::get_if<EntryHello>(&Message))
    feed(PeerConnected{Link, *Hello});
  else
    close(CloseLink{Link, "first message is no hello"});
}

void EntryNode::feed(const EntryEvent &Event) {
  if (!alive())
    return;
  std::vector<EntryCommand> Commands;
  m_Core.handle(clock(), Event, Commands);
  for (const EntryCommand &Command : Commands)
    std::visit([this](const auto &C) { perform(C); }, Command);
  const std::string Life =
      name() + "#" +
      std::to_string(static_cast<std::uint64_t>(m_Options.m_Incarnation));
  m_Context.m_Checker.configVersion(Life, m_Core.status().m_ConfigVersion);
}

void EntryNode::perform(const AnswerRequest &Command) {
  noteAnswer(Command.m_Request, Command.m_Outcome, Command.m_Reason,
             " status=" + std::to_string(Command.m_HttpStatus) + " body=\"" +
                 std::string(bytesOf(Command.m_Body)) + "\"");
  m_Context.m_Checker.answered(Command);
}

void EntryNode::perform(const AnswerJob &Command) {
  noteAnswer(Command.m_Request, Command.m_Outcome, Command.m_Reason,
             " tasks=" + std::to_string(Command.m_Tasks.size()));
  m_Context.m_Checker.answered(Command);
}

void EntryNode::noteAnswer(const RequestId &Request, Outcome End,
                           RefusalReason Reason, const std::string &Rest) {
  std::string Line = "answers " + m_Context.m_Transcript.nameOf(Request) + " " +
                     std::string(toString(End));
  if (Reason != RefusalReason::None)
    Line += " reason=" + std::string(toString(Reason));
  note(Line + Rest);
}

void EntryNode::perform(const LogDecision &Command) {
  m_Context.m_Transcript.decision(m_Context.m_Events.now(), name(), Command);
}

void EntryNode::perform(const Drained &) {
  note("has drained");
  m_Context.m_Checker.drained(name());
  // The daemon exits once what it sent is written.
  m_Context.m_Events.schedule(m_Context.m_Events.now(), [this] { kill(); });
}

} // namespace cyclamencroft::session
