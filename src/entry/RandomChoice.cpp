// Baseline policy: a random available agent.
#include "entry/RoutingChoice.h"

namespace cyclamencroft {

bool hasBaselineCapacity(const EndpointTable &Table, AgentIndex Agent) {
  const EndpointRow &Row = Table.row(Agent);
  return Row.takesWork() &&
         Row.m_Load.ownTasks() < Row.m_Slots + Table.agentQueue();
}

std::optional<AgentIndex> chooseAtRandom(const ChoiceContext &Context) {
  const std::size_t Count = Context.m_Agents.memberCount();
  if (Count == 0)
    return std::nullopt;
  // Takes the next agent with capacity from a random start; a single random
  // draw could miss the only agent with capacity.
  std::size_t Index = Context.m_Random.below(static_cast<std::uint32_t>(Count));
  for (std::size_t Tried = 0; Tried < Count; ++Tried) {
    const AgentIndex Agent = Context.m_Agents.member(Index);
    if (hasBaselineCapacity(Context.m_Table, Agent))
      return Agent;
    Index = (Index + 1) % Count;
  }
  return std::nullopt;
}

} // namespace cyclamencroft
