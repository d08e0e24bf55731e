// Keeps to the agent's part of the link protocol, without a gate or endpoint.
#include "AgentFleet.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// As of a real agent on an idle link.
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

int AgentFleet::agentsAt(ConfigVersion Version) const {
  return static_cast<int>(
      std::count_if(m_Agents.begin(), m_Agents.end(), [&](const auto &Each) {
        return Each->m_Version >= Version;
      }));
}

LinkHandlers AgentFleet::handlers(Agent &Of) {
  return {[this, &Of](LinkId Link) {
            ++m_Open;
            Of.m_Link = Link;
            Of.m_Client->send(Link, {Of.m_Hello});
            armHeartbeat(Of);
          },
          [this, &Of](LinkId, const std::vector<LinkMessage> &Messages) {
            receive(Of, Messages);
          },
          [this, &Of](LinkId, const std::string &) {
            --m_Open;
            m_Greeted -= Of.m_IsGreeted ? 1 : 0;
            Of.m_IsGreeted = false;
            Of.m_Heartbeat->cancel();
          }};
}

void AgentFleet::receive(Agent &To, const std::vector<LinkMessage> &Messages) {
  std::vector<LinkMessage> Answers;
  std::uint64_t Tasks = 0;
  for (const LinkMessage &Message : Messages) {
    if (const auto *Task = std::get_if<Dispatch>(&Message)) {
      TaskResult Result;
      Result.m_Sequence = Task->m_Sequence;
      Result.m_HttpStatus = 200;
      Result.m_Body = m_Body;
      Answers.emplace_back(std::move(Result));
      ++Tasks;
    } else if (const auto *Asked = std::get_if<Ping>(&Message)) {
      Answers.emplace_back(Pong{Asked->m_Number});
    } else if (const auto *View = std::get_if<ConfigView>(&Message)) {
      To.m_Version = View->m_Version;
    } else if (std::holds_alternative<EntryHello>(Message)) {
      m_Greeted += To.m_IsGreeted ? 0 : 1;
      To.m_IsGreeted = true;
    }
  }
  m_Tasks += Tasks;
  m_Frames += Tasks > 0 ? 1 : 0;
  if (Answers.empty())
    return;
  To.m_Client->send(To.m_Link, Answers);
  armHeartbeat(To);
}

void AgentFleet::armHeartbeat(Agent &Of) {
  Of.m_Heartbeat->expires_after(HeartbeatInterval);
  Of.m_Heartbeat->async_wait([this, &Of](boost::system::error_code Cancelled) {
    if (Cancelled)
      return;
    Of.m_Client->send(Of.m_Link, {Heartbeat{Of.m_Version}});
    armHeartbeat(Of);
  });
}

} // namespace cyclamencroft
