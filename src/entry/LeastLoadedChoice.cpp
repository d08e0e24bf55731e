// Baseline policy: the agent with the lowest running count in its last report.
// It shows herding: all entries choose the same agent as the least loaded one.
#include "entry/RoutingChoice.h"

namespace cyclamencroft {

std::optional<AgentIndex> chooseLeastLoaded(const ChoiceContext &Context) {
  std::optional<AgentIndex> Best;
  for (std::size_t I = 0; I < Context.m_Agents.memberCount(); ++I) {
    const AgentIndex Agent = Context.m_Agents.member(I);
    if (!hasBaselineCapacity(Context.m_Table, Agent))
      continue;
    const std::uint32_t Load = Context.m_Table.row(Agent).m_Load.lastReport();
    if (!Best || Load < Context.m_Table.row(*Best).m_Load.lastReport())
      Best = Agent;
  }
  return Best;
}

} // namespace cyclamencroft
