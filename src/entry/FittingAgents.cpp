// Indexed view of the agents in the size classes that are large enough for a
// task.
#include "entry/FittingAgents.h"

namespace cyclamencroft {

FittingAgents::FittingAgents(const EndpointTable &Table,
                             const ServiceGroup &Service,
                             const RouteQuery &Query)
    : m_Table(Table) {
  for (const auto &Class : Service.m_Classes)
    if (!Class->m_Members.empty() && Class->m_Size.holds(Query.m_Need))
      m_Classes.push_back(Class.get());
  if (!Query.m_Avoid)
    return;
  for (const SizeClass *Class : m_Classes)
    if (Table.row(*Query.m_Avoid).m_Class == Class)
      m_Avoid = Query.m_Avoid;
}

bool FittingAgents::containsAvoided(const SizeClass &Class,
                                    CapacityState Capacity) const {
  if (!m_Avoid)
    return false;
  const EndpointRow &Row = m_Table.row(*m_Avoid);
  return Row.m_Class == &Class && Row.m_Capacity == Capacity;
}

std::size_t FittingAgents::count(CapacityState Capacity) const {
  std::size_t Count = 0;
  for (const SizeClass *Class : m_Classes)
    Count += Class->at(Capacity).size() -
             (containsAvoided(*Class, Capacity) ? 1 : 0);
  return Count;
}

AgentIndex FittingAgents::get(CapacityState Capacity, std::size_t Index) const {
  for (const SizeClass *Class : m_Classes) {
    const auto &List = Class->at(Capacity);
    const bool Avoids = containsAvoided(*Class, Capacity);
    const std::size_t Count = List.size() - (Avoids ? 1 : 0);
    if (Index >= Count) {
      Index -= Count;
      continue;
    }
    // The last agent of the list replaces the agent to avoid at its index.
    const bool Skip = Avoids && Index == m_Table.row(*m_Avoid).m_SetIndex;
    return List[Skip ? Count : Index];
  }
  return 0;
}

std::size_t FittingAgents::memberCount() const {
  std::size_t Count = 0;
  for (const SizeClass *Class : m_Classes)
    Count += Class->m_Members.size();
  return Count;
}

AgentIndex FittingAgents::member(std::size_t Index) const {
  for (const SizeClass *Class : m_Classes) {
    if (Index < Class->m_Members.size())
      return Class->m_Members[Index];
    Index -= Class->m_Members.size();
  }
  return 0;
}

std::size_t FittingAgents::inRotation() const {
  std::size_t Count = 0;
  for (const SizeClass *Class : m_Classes)
    Count += Class->inRotation();
  const bool AvoidedInRotation = m_Avoid && m_Table.row(*m_Avoid).m_Capacity !=
                                                CapacityState::OutOfRotation;
  return Count - (AvoidedInRotation ? 1 : 0);
}

bool FittingAgents::anyEjected() const {
  for (const SizeClass *Class : m_Classes)
    for (const AgentIndex Agent : Class->at(CapacityState::OutOfRotation))
      if (m_Table.row(Agent).takesWork())
        return true;
  return false;
}

} // namespace cyclamencroft
