// Simulated agents: they use real links, send hello and heartbeats, and return
// the result of a task at once.
#pragma once

#include "link/LinkClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft {

class AgentFleet {
public:
  AgentFleet(boost::asio::io_context &Io, const std::string &Entry, int Count);

  /// Number of agents whose hello the entry has answered.
  int registered() const { return m_Registered; }
  int openLinks() const { return m_OpenLinks; }
  /// Number of agents whose configuration is at \p Version or above.
  int agentsAtVersion(ConfigVersion Version) const;
  /// Number of tasks answered.
  std::uint64_t tasks() const { return m_Tasks; }
  /// Number of frames that held at least one dispatch.
  std::uint64_t frames() const { return m_Frames; }

private:
  struct Agent {
    std::unique_ptr<LinkClient> m_Client;
    std::unique_ptr<boost::asio::steady_timer> m_Heartbeat;
    AgentHello m_Hello;
    LinkId m_Link{};
    bool m_IsRegistered = false;
    ConfigVersion m_Version = 0;
  };

  LinkHandlers handlers(Agent &Owner);
  void receive(Agent &Receiver, const std::vector<LinkMessage> &Messages);
  void armHeartbeat(Agent &Owner);

  std::vector<std::unique_ptr<Agent>> m_Agents;
  Payload m_Body = makePayload(std::string(100, 'r'));
  int m_OpenLinks = 0;
  int m_Registered = 0;
  std::uint64_t m_Tasks = 0;
  std::uint64_t m_Frames = 0;
};

} // namespace cyclamencroft
