// Feeds events to an entry core and executes its commands.
#include "EntryNode.h"

namespace cyclamencroft::session {

EntryNode::EntryNode(SessionContext &Context, const EntryOptions &Options,
                     Duration ClockOffset)
    : SessionNode(Context, Options.m_EntryId, ClockOffset), m_Options(Options),
      m_Core(Options) {}

void EntryNode::submitRequest(const RequestArrived &Request,
                              const Submission &Submitted) {
  runOrDefer([this, Request, Submitted] {
    note("gets request " + Submitted.m_Name);
    m_Context.m_Checker.recordSubmission(Request.m_Caller, Submitted);
    handleEvent(Request);
  });
}

void EntryNode::submitJob(const JobSubmitted &Job,
                          const Submission &Submitted) {
  runOrDefer([this, Job, Submitted] {
    note("gets job " + Submitted.m_Name);
    m_Context.m_Checker.recordSubmission(Job.m_Caller, Submitted);
    handleEvent(Job);
  });
}

void EntryNode::cancel(const RequestId &Request) {
  runOrDefer([this, Request] {
    note("is asked to cancel " + m_Context.m_Transcript.nameOf(Request));
    handleEvent(CancelRequested{Request});
  });
}

void EntryNode::callerDisconnected(CallerId Caller) {
  runOrDefer([this, Caller] { handleEvent(CallerDisconnected{Caller}); });
}

void EntryNode::receiveConfig(const ConfigStatePtr &State) {
  runOrDefer([this, State] {
    note("receives configuration " + std::to_string(State->m_Version) +
         " preset=" + State->m_PresetName);
    handleEvent(ConfigAdopted{State});
  });
}

void EntryNode::shutDown() {
  runOrDefer([this] {
    note("is asked to shut down");
    handleEvent(ShutdownRequested{});
  });
}

void EntryNode::onOpened(LinkId Link, const std::string &, bool IsDialer) {
  // The dialling entry sends its hello first; the accepting one waits for it.
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
  if (m_LinksWithHello.erase(Link) > 0)
    handleEvent(LinkClosed{Link});
}

void EntryNode::onMessage(LinkId Link, const LinkMessage &Message) {
  if (m_LinksWithHello.insert(Link).second) {
    handleFirstMessage(Link, Message);
    return;
  }
  handleEvent(MessageReceived{Link, Message});
  // The daemon parses a transferred document and passes the result to the core.
  if (const auto *Transfer = std::get_if<ConfigTransfer>(&Message))
    if (const auto State = m_Context.m_Config.find(Transfer->m_Version))
      handleEvent(ConfigAdopted{State});
}

void EntryNode::handleFirstMessage(LinkId Link, const LinkMessage &Message) {
  if (const auto *Hello = std::get_if<AgentHello>(&Message))
    handleEvent(AgentConnected{Link, *Hello});
  else if (const auto *Hello = std::get_if<EntryHello>(&Message))
    handleEvent(PeerConnected{Link, *Hello});
  else
    close(CloseLink{Link, "first message is not a hello"});
}

void EntryNode::handleEvent(const EntryEvent &Event) {
  handleWith<EntryCommand>(m_Core, Event, m_Options.m_Incarnation,
                           [this](const auto &Command) { execute(Command); });
}

void EntryNode::execute(const AnswerRequest &Command) {
  noteAnswer(Command.m_Request, Command.m_Outcome, Command.m_Reason,
             " status=" + std::to_string(Command.m_HttpStatus) + " body=\"" +
                 std::string(bytesOf(Command.m_Body)) + "\"");
  m_Context.m_Checker.checkAnswer(Command);
}

void EntryNode::execute(const AnswerJob &Command) {
  noteAnswer(Command.m_Request, Command.m_Outcome, Command.m_Reason,
             " tasks=" + std::to_string(Command.m_Tasks.size()));
  m_Context.m_Checker.checkAnswer(Command);
}

void EntryNode::noteAnswer(const RequestId &Request, Outcome Result,
                           RefusalReason Reason, const std::string &Details) {
  std::string Line = "answers " + m_Context.m_Transcript.nameOf(Request) + " " +
                     std::string(toString(Result));
  if (Reason != RefusalReason::None)
    Line += " reason=" + std::string(toString(Reason));
  note(Line + Details);
}

void EntryNode::execute(const LogDecision &Command) {
  m_Context.m_Transcript.decision(m_Context.m_Events.now(), name(), Command);
}

void EntryNode::execute(const Drained &) {
  note("has drained");
  m_Context.m_Checker.checkDrained(name());
  // The daemon exits once all sent messages are written.
  m_Context.m_Events.schedule(m_Context.m_Events.now(), [this] { kill(); });
}

} // namespace cyclamencroft::session
