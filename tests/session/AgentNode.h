// An agent process: the decision core and a stand-in for its daemon.
#pragma once

#include "FakeEndpoint.h"
#include "SessionNode.h"
#include "agent/AgentCore.h"

namespace cyclamencroft::session {

class AgentNode : public SessionNode {
public:
  AgentNode(SessionContext &Context, const AgentOptions &Options,
            Duration ClockOffset, FakeEndpoint &Endpoint);

  /// Starts the process; the index of an entry is its position in \p Entries.
  void startWith(const std::vector<std::string> &Entries);

  /// Events of the endpoint.
  void endpointAnnounced();
  void endpointDraining();
  void runEnded(const RunEnded &End);

  void shutDown();
  AgentStatusReport status() const { return m_Core.status(); }

protected:
  TimePoint nextWakeup() const override { return m_Core.nextWakeup(); }
  void onTick() override { handleEvent(Tick{}); }
  void onOpened(LinkId Link, const std::string &Peer, bool IsDialer) override;
  void onClosed(LinkId Link) override { handleEvent(LinkClosed{Link}); }
  void onMessage(LinkId Link, const LinkMessage &Message) override;

private:
  void handleEvent(const AgentEvent &Event);
  void execute(const SendMessage &Command) { send(Command); }
  void execute(const CloseLink &Command) { close(Command); }
  void execute(const StartRun &Command);
  void execute(const AbortRun &Command);
  void execute(const LogDecision &Command);
  void execute(const SpanEnded &) {}
  void execute(const Drained &Command);
  void checkStartAllowed(const StartRun &Run);

  AgentOptions m_Options;
  FakeEndpoint &m_Endpoint;
  std::map<std::string, std::uint32_t> m_EntryIndex;
  AgentCore m_Core;
  /// Session time at which the lease of the endpoint expires unless renewed.
  Duration m_LeaseEndsAt{};
  /// The view with the highest version received.
  ConfigView m_View;
};

} // namespace cyclamencroft::session
