// Implements the agent's side of the link protocol. Answers dispatches itself,
// without the decision core of an agent and without an endpoint.
#include "AgentFleet.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Equal to the interval of a real agent on an idle link.
constexpr std::chrono::seconds HeartbeatInterval{20};

AgentHello makeHello(int Number) {
  AgentHello Hello;
  Hello.m_AgentId = "agent-" + std::to_string(Number);
  Hello.m_Incarnation = Incarnation(static_cast<std::uint64_t>(Number) + 1);
  Hello.m_WindowId = 1;
  Hello.m_Service = "permits";
  Hello.m_FailureDomain = "domain-" + std::to_string(Number % 14);
  Hello.m_Rack = "rack-" + std::to_string(Number / 20);
  Hello.m_EndpointAddress = "10.0." + std::to_string(Number / 250) + '.' +
                            std::to_string(Number % 250 + 1) + ":8080";
  Hello.m_Slots = 8;
  Hello.m_Connections = 64;
  Hello.m_Size = {64, 131072, 0};
  return Hello;
}

} // namespace

AgentFleet::AgentFleet(boost::asio::io_context &Io, const std::string &Entry,
                       int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    auto Added = std::make_unique<Agent>();
    Added->m_Hello = makeHello(Number);
    Added->m_Heartbeat = std::make_unique<boost::asio::steady_timer>(Io);
    Added->m_Client = std::make_unique<LinkClient>(Io, Entry, handlers(*Added));
    Added->m_Client->start();
    m_Agents.push_back(std::move(Added));
  }
}

int AgentFleet::agentsAtVersion(ConfigVersion Version) const {
  return static_cast<int>(
      std::count_if(m_Agents.begin(), m_Agents.end(), [&](const auto &Member) {
        return Member->m_Version >= Version;
      }));
}

LinkHandlers AgentFleet::handlers(Agent &Owner) {
  return {[this, &Owner](LinkId Link) {
            ++m_OpenLinks;
            Owner.m_Link = Link;
            Owner.m_Client->send(Link, {Owner.m_Hello});
            armHeartbeat(Owner);
          },
          [this, &Owner](LinkId, const std::vector<LinkMessage> &Messages) {
            receive(Owner, Messages);
          },
          [this, &Owner](LinkId, const std::string &) {
            --m_OpenLinks;
            m_Registered -= Owner.m_IsRegistered ? 1 : 0;
            Owner.m_IsRegistered = false;
            Owner.m_Heartbeat->cancel();
          }};
}

void AgentFleet::receive(Agent &Receiver,
                         const std::vector<LinkMessage> &Messages) {
  std::vector<LinkMessage> Replies;
  std::uint64_t Tasks = 0;
  for (const LinkMessage &Message : Messages) {
    if (const auto *Task = std::get_if<Dispatch>(&Message)) {
      TaskResult Result;
      Result.m_Sequence = Task->m_Sequence;
      Result.m_HttpStatus = 200;
      Result.m_Body = m_Body;
      Replies.emplace_back(std::move(Result));
      ++Tasks;
    } else if (const auto *PingMessage = std::get_if<Ping>(&Message)) {
      Replies.emplace_back(Pong{PingMessage->m_Number});
    } else if (const auto *View = std::get_if<ConfigView>(&Message)) {
      Receiver.m_Version = View->m_Version;
    } else if (std::holds_alternative<EntryHello>(Message)) {
      m_Registered += Receiver.m_IsRegistered ? 0 : 1;
      Receiver.m_IsRegistered = true;
    }
  }
  m_Tasks += Tasks;
  m_Frames += Tasks > 0 ? 1 : 0;
  if (Replies.empty())
    return;
  Receiver.m_Client->send(Receiver.m_Link, Replies);
  armHeartbeat(Receiver);
}

void AgentFleet::armHeartbeat(Agent &Owner) {
  Owner.m_Heartbeat->expires_after(HeartbeatInterval);
  Owner.m_Heartbeat->async_wait(
      [this, &Owner](boost::system::error_code Cancelled) {
        if (Cancelled)
          return;
        Owner.m_Client->send(Owner.m_Link, {Heartbeat{Owner.m_Version}});
        armHeartbeat(Owner);
      });
}

} // namespace cyclamencroft
