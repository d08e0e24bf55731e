// Placeholder until the routing branch is merged: round robin over agents that
// are believed to have a free slot.
#include "entry/Router.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cyclamencroft {

class Router::Impl {
public:
  struct Row {
    AgentHello m_Hello;
    bool m_Available = true;
    std::uint32_t m_Running = 0;
    std::uint32_t m_Own = 0;
    bool free() const { return m_Running < m_Hello.m_Slots; }
  };
  struct Service {
    std::vector<AgentIndex> m_Agents;
    std::size_t m_Next = 0;
    Duration m_RunTime{};
  };
  std::vector<Row> m_Rows;
  std::vector<AgentIndex> m_Free;
  std::map<std::string, Service, std::less<>> m_Services;

  void ended(AgentIndex Agent, std::uint32_t Running) {
    Row &At = m_Rows[Agent];
    At.m_Own -= At.m_Own > 0 ? 1 : 0;
    At.m_Running = std::max(Running, At.m_Own);
  }
};

Router::Router(std::uint64_t) : m_Impl(std::make_unique<Impl>()) {}
Router::~Router() = default;

AgentIndex Router::addAgent(const AgentHello &Hello, TimePoint) {
  AgentIndex Index = static_cast<AgentIndex>(m_Impl->m_Rows.size());
  if (m_Impl->m_Free.empty()) {
    m_Impl->m_Rows.emplace_back();
  } else {
    Index = m_Impl->m_Free.back();
    m_Impl->m_Free.pop_back();
  }
  m_Impl->m_Rows[Index] = Impl::Row{Hello, true, Hello.m_Running, 0};
  m_Impl->m_Services[Hello.m_Service].m_Agents.push_back(Index);
  return Index;
}

void Router::removeAgent(AgentIndex Agent) {
  auto &Agents =
      m_Impl->m_Services[m_Impl->m_Rows[Agent].m_Hello.m_Service].m_Agents;
  Agents.erase(std::find(Agents.begin(), Agents.end(), Agent));
  m_Impl->m_Free.push_back(Agent);
}

void Router::setAvailable(AgentIndex Agent, bool Available) {
  m_Impl->m_Rows[Agent].m_Available = Available;
}

void Router::updateStatus(AgentIndex Agent, const AgentStatus &Status,
                          TimePoint) {
  Impl::Row &At = m_Impl->m_Rows[Agent];
  At.m_Hello.m_Slots = Status.m_Slots;
  At.m_Running = std::max(Status.m_Running, At.m_Own);
}

void Router::setEntries(std::uint32_t) {}
void Router::setAgentQueue(std::uint32_t) {}

std::optional<AgentIndex> Router::choose(const RouteQuery &Query,
                                         const RoutingPolicy &, TimePoint,
                                         NoRoute &Why) {
  Why = NoRoute::NoEndpoint;
  const auto Found = m_Impl->m_Services.find(Query.m_Service);
  if (Found == m_Impl->m_Services.end())
    return std::nullopt;
  Impl::Service &In = Found->second;
  std::optional<AgentIndex> Second;
  for (std::size_t Step = 0; Step < In.m_Agents.size(); ++Step) {
    const AgentIndex Index = In.m_Agents[In.m_Next++ % In.m_Agents.size()];
    const Impl::Row &At = m_Impl->m_Rows[Index];
    if (!At.m_Available || !At.m_Hello.m_Size.holds(Query.m_Need))
      continue;
    Why = NoRoute::AllBusy;
    if (!At.free())
      continue;
    if (Query.m_Avoid != Index)
      return Index;
    Second = Index;
  }
  return Second;
}

void Router::dispatched(AgentIndex Agent, TimePoint) {
  ++m_Impl->m_Rows[Agent].m_Running;
  ++m_Impl->m_Rows[Agent].m_Own;
}

void Router::finished(AgentIndex Agent, const TaskResult &Result, TimePoint) {
  m_Impl->ended(Agent, Result.m_Running);
  Duration &RunTime =
      m_Impl->m_Services[m_Impl->m_Rows[Agent].m_Hello.m_Service].m_RunTime;
  RunTime = RunTime == Duration{} ? Result.m_RunTime
                                  : (RunTime * 7 + Result.m_RunTime) / 8;
}

void Router::refused(AgentIndex Agent, const TaskRefused &Refusal, TimePoint) {
  m_Impl->ended(Agent, Refusal.m_Running);
}

void Router::abandoned(AgentIndex Agent) {
  m_Impl->ended(Agent, m_Impl->m_Rows[Agent].m_Running - 1);
}

TimePoint Router::nextChange() const { return TimePoint::max(); }

Duration Router::usualRunTime(std::string_view Service) const {
  const auto Found = m_Impl->m_Services.find(Service);
  return Found == m_Impl->m_Services.end() ? Duration{}
                                           : Found->second.m_RunTime;
}

std::uint32_t Router::slots(std::string_view Service) const {
  const auto Found = m_Impl->m_Services.find(Service);
  std::uint32_t Sum = 0;
  if (Found != m_Impl->m_Services.end())
    for (const AgentIndex Index : Found->second.m_Agents)
      if (m_Impl->m_Rows[Index].m_Available)
        Sum += m_Impl->m_Rows[Index].m_Hello.m_Slots;
  return Sum;
}

bool Router::fitsAny(std::string_view Service, const Size &Need) const {
  const auto Found = m_Impl->m_Services.find(Service);
  if (Found == m_Impl->m_Services.end())
    return false;
  for (const AgentIndex Index : Found->second.m_Agents)
    if (m_Impl->m_Rows[Index].m_Hello.m_Size.holds(Need))
      return true;
  return false;
}

} // namespace cyclamencroft
