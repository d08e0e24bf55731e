// Baseline: any available agent.
#include "entry/RoutingChoice.h"

namespace cyclamencroft {

bool hasBaselineRoom(const EndpointTable &Table, AgentIndex Agent) {
  const EndpointRow &Row = Table.row(Agent);
  return Row.takesWork() && Row.m_Load.own() < Row.m_Slots + Table.agentQueue();
}

std::optional<AgentIndex> chooseAtRandom(const ChoiceContext &Context) {
  const std::size_t Count = Context.m_Agents.memberCount();
  if (Count == 0)
    return std::nullopt;
  // From a random start the next agent with room; a draw of one agent alone
  // could miss the only one.
  std::size_t Index = Context.m_Random.below(static_cast<std::uint32_t>(Count));
  for (std::size_t Tried = 0; Tried < Count; ++Tried) {
    const AgentIndex Agent = Context.m_Agents.member(Index);
    if (hasBaselineRoom(Context.m_Table, Agent))
      return Agent;
    Index = (Index + 1) % Count;
  }
  return std::nullopt;
}

} // namespace cyclamencroft
