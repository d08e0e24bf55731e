// Fake agents: real links with hello, heartbeats and immediate results.
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

  /// Agents whose hello was answered.
  int greeted() const { return m_Greeted; }
  int open() const { return m_Open; }
  int agentsAt(ConfigVersion Version) const;
  /// Tasks answered.
  std::uint64_t tasks() const { return m_Tasks; }
  /// Frames that held dispatches.
  std::uint64_t frames() const { return m_Frames; }

private:
  struct Agent {
    std::unique_ptr<LinkClient> m_Client;
    std::unique_ptr<boost::asio::steady_timer> m_Heartbeat;
    AgentHello m_Hello;
    LinkId m_Link{};
    bool m_IsGreeted = false;
    ConfigVersion m_Version = 0;
  };

  LinkHandlers handlers(Agent &Of);
  void receive(Agent &To, const std::vector<LinkMessage> &Messages);
  void armHeartbeat(Agent &Of);

  std::vector<std::unique_ptr<Agent>> m_Agents;
  Payload m_Body = makePayload(std::string(100, 'r'));
  int m_Open = 0;
  int m_Greeted = 0;
  std::uint64_t m_Tasks = 0;
  std::uint64_t m_Frames = 0;
};

} // namespace cyclamencroft
