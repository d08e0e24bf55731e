// Agent state that is derived from the row alone.
#include "entry/AgentRow.h"

namespace cyclamencroft {

HelloRelation AgentRow::classifyHello(const AgentHello &Hello) const {
  if (Hello.m_Incarnation != m_Incarnation)
    return HelloRelation::NewIncarnation;
  return Hello.m_WindowId == m_WindowId ? HelloRelation::SameWindow
                                        : HelloRelation::NewWindow;
}

bool AgentRow::takesWork() const {
  const bool Reachable =
      m_Link && !m_Reconciling && m_Liveness != LivenessState::Suspected;
  const bool Accepting = m_State == AgentState::Active && !m_GoodbyeReceived;
  const bool Permitted = !m_Superseded && !m_DomainDrained;
  return Reachable && Accepting && Permitted && m_Route && !m_Ledger.full();
}

std::string_view AgentRow::stateName() const {
  if (!m_Link || m_GoodbyeReceived)
    return "link-lost";
  if (m_Reconciling)
    return "in-doubt";
  if (m_Liveness == LivenessState::Suspected)
    return "suspected";
  if (m_DomainDrained)
    return "drained";
  if (m_Superseded)
    return "superseded";
  if (!m_Route)
    return "no-endpoint";
  return m_State == AgentState::Draining ? "leaving" : "available";
}

} // namespace cyclamencroft
