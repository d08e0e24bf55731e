// Feeds events to an agent core and executes its commands.
#include "AgentNode.h"

#include <algorithm>

namespace cyclamencroft::session {

AgentNode::AgentNode(SessionContext &Context, const AgentOptions &Options,
                     Duration ClockOffset, FakeEndpoint &Endpoint)
    : SessionNode(Context, Options.m_AgentId, ClockOffset), m_Options(Options),
      m_Endpoint(Endpoint), m_Core(Options) {}

void AgentNode::startWith(const std::vector<std::string> &Entries) {
  for (const std::string &Entry : Entries)
    m_EntryIndex.emplace(Entry,
                         static_cast<std::uint32_t>(m_EntryIndex.size()));
  start(Entries);
}

void AgentNode::endpointAnnounced() {
  runOrDefer([this] {
    m_LeaseEndsAt = m_Context.m_Events.now() + m_Options.m_EndpointLease;
    m_Context.m_Checker.allowStarts(name());
    handleEvent(m_Endpoint.announcement());
  });
}

void AgentNode::endpointDraining() {
  runOrDefer([this] {
    handleEvent(EndpointDraining{});
    m_Context.m_Checker.forbidStarts(name());
  });
}

void AgentNode::runEnded(const RunEnded &End) {
  runOrDefer([this, End] { handleEvent(End); });
}

void AgentNode::shutDown() {
  runOrDefer([this] {
    note("is asked to shut down");
    handleEvent(ShutdownRequested{});
    m_Context.m_Checker.forbidStarts(name());
  });
}

void AgentNode::onOpened(LinkId Link, const std::string &Peer, bool) {
  handleEvent(EntryLinkOpened{m_EntryIndex.at(Peer), Link});
}

void AgentNode::onMessage(LinkId Link, const LinkMessage &Message) {
  const auto *View = std::get_if<ConfigView>(&Message);
  if (View && View->m_Version > m_View.m_Version)
    m_View = *View;
  handleEvent(MessageReceived{Link, Message});
}

void AgentNode::handleEvent(const AgentEvent &Event) {
  handleWith<AgentCommand>(m_Core, Event, m_Options.m_Incarnation,
                           [this](const auto &Command) { execute(Command); });
}

void AgentNode::execute(const StartRun &Command) {
  const std::string Task = m_Context.m_Transcript.nameOf(Command.m_Request) +
                           "/" + std::to_string(Command.m_TaskIndex);
  if (!m_Endpoint.start(Command, Command.m_Deadline - clock())) {
    note("can't reach its endpoint to run " + Task);
    return;
  }
  note("runs " + Task);
  const EndpointAnnounced &Endpoint = m_Endpoint.announcement();
  m_Context.m_Checker.checkStart(
      name(), Command, m_Endpoint.runningCount(),
      std::min(Endpoint.m_Slots, Endpoint.m_Connections));
  checkStartAllowed(Command);
}

void AgentNode::checkStartAllowed(const StartRun &Run) {
  const std::string Task = m_Context.m_Transcript.nameOf(Run.m_Request);
  if (m_Context.m_Events.now() >= m_LeaseEndsAt)
    m_Context.m_Checker.addViolation(
        "invariant 6: " + name() + " started " + Task +
        " after the lease of its endpoint expired");
  const auto &Drained = m_View.m_DrainedFailureDomains;
  if (std::find(Drained.begin(), Drained.end(), m_Options.m_FailureDomain) !=
      Drained.end())
    m_Context.m_Checker.addViolation("invariant 6: " + name() + " started " +
                                     Task + " in a drained failure domain");
}

void AgentNode::execute(const AbortRun &Command) {
  note("aborts a run");
  m_Endpoint.abort(Command.m_Run);
}

void AgentNode::execute(const LogDecision &Command) {
  m_Context.m_Transcript.decision(m_Context.m_Events.now(), name(), Command);
}

void AgentNode::execute(const Drained &) {
  note("has drained");
  if (m_Endpoint.runningCount() > 0)
    m_Context.m_Checker.addViolation(
        "invariant 7: " + name() +
        " finished shutting down with tasks running");
  // The daemon exits once all sent messages are written.
  m_Context.m_Events.schedule(m_Context.m_Events.now(), [this] { kill(); });
}

} // namespace cyclamencroft::session
