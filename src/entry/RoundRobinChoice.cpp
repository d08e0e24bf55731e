// Baseline policy: round robin over the agents.
#include "entry/RoutingChoice.h"

namespace cyclamencroft {

std::optional<AgentIndex> chooseRoundRobin(const ChoiceContext &Context) {
  const std::size_t Count = Context.m_Agents.memberCount();
  for (std::size_t Tried = 0; Tried < Count; ++Tried) {
    Context.m_Service.m_Cursor = (Context.m_Service.m_Cursor + 1) % Count;
    const AgentIndex Agent =
        Context.m_Agents.member(Context.m_Service.m_Cursor);
    if (hasBaselineCapacity(Context.m_Table, Agent))
      return Agent;
  }
  return std::nullopt;
}

} // namespace cyclamencroft
