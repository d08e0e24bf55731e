// Connection pool. The core starts no more runs at a time than the endpoint
// accepts connections, and an idle connection is reused before a new one is
// opened, so the number of connections stays within the announced limit.
#include "agent/EndpointClient.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace cyclamencroft {

EndpointClient::EndpointClient(boost::asio::io_context &Io, Ended OnEnded)
    : m_Io(Io), m_OnEnded(std::move(OnEnded)) {}

void EndpointClient::setEndpoint(const std::string &Address,
                                 std::uint32_t Connections) {
  if (Address != m_Address)
    m_Idle.clear();
  m_Address = Address;
  m_Connections = Connections;
  pruneIdle();
}

void EndpointClient::start(const StartRun &Run) {
  Busy Started{Run, acquireConnection(Run.m_EndpointAddress)};
  EndpointConnection &Connection = *Started.m_Connection;
  m_Busy.emplace(Run.m_Run, std::move(Started));
  Connection.start(Run, [this](RunEnded Ended, bool Reusable) {
    onEnded(std::move(Ended), Reusable);
  });
}

void EndpointClient::abort(RunId Run) {
  const auto Found = m_Busy.find(Run);
  if (Found != m_Busy.end())
    Found->second.m_Connection->abort();
}

std::vector<StartRun> EndpointClient::stop() {
  std::vector<StartRun> Interrupted;
  for (auto &[Id, Run] : m_Busy)
    Interrupted.push_back(std::move(Run.m_Run));
  m_Busy.clear();
  m_Idle.clear();
  return Interrupted;
}

EndpointClient::ConnectionPtr
EndpointClient::acquireConnection(const std::string &Address) {
  pruneIdle();
  while (Address == m_Address && !m_Idle.empty()) {
    ConnectionPtr Last = std::move(m_Idle.back().m_Connection);
    m_Idle.pop_back();
    if (Last->isIdle())
      return Last;
  }
  return std::make_unique<EndpointConnection>(m_Io, Address);
}

void EndpointClient::pruneIdle() {
  const TimePoint Oldest = RuntimeClock::now() - IdleLimit;
  while (!m_Idle.empty() && (m_Idle.front().m_Since <= Oldest ||
                             m_Idle.size() + m_Busy.size() > m_Connections))
    m_Idle.pop_front();
}

void EndpointClient::onEnded(RunEnded Run, bool Reusable) {
  const auto Found = m_Busy.find(Run.m_Run);
  ConnectionPtr Connection = std::move(Found->second.m_Connection);
  m_Busy.erase(Found);
  if (Reusable && Connection->address() == m_Address)
    m_Idle.push_back({std::move(Connection), RuntimeClock::now()});
  pruneIdle();
  m_OnEnded(std::move(Run));
}

} // namespace cyclamencroft
