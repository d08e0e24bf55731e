// Indexed view of the agents of a service that are large enough for a task,
// across the size classes, so that policies can draw from it at random.
#pragma once

#include "entry/EndpointTable.h"

#include <boost/container/small_vector.hpp>

#include <optional>

namespace cyclamencroft {

class FittingAgents {
public:
  FittingAgents(const EndpointTable &Table, const ServiceGroup &Service,
                const RouteQuery &Query);

  /// Number of agents with \p Capacity, without the agent to avoid.
  std::size_t count(CapacityState Capacity) const;
  /// The agent at \p Index among those; \p Index must be below count(Capacity).
  AgentIndex get(CapacityState Capacity, std::size_t Index) const;

  /// Number of fitting agents in any state, the agent to avoid included.
  std::size_t memberCount() const;
  AgentIndex member(std::size_t Index) const;

  /// Number of agents in rotation, with or without capacity, without the agent
  /// to avoid.
  std::size_t inRotation() const;

  /// True when an agent is out of rotation only because it is ejected; it
  /// returns when the ejection ends.
  bool anyEjected() const;

  bool empty() const { return m_Classes.empty(); }
  std::optional<AgentIndex> avoided() const { return m_Avoid; }

private:
  /// True when the agent to avoid is in the class's set for \p Capacity.
  bool containsAvoided(const SizeClass &Class, CapacityState Capacity) const;

  const EndpointTable &m_Table;
  /// Set only when the agent to avoid is among the fitting agents.
  std::optional<AgentIndex> m_Avoid;
  boost::container::small_vector<const SizeClass *, 8> m_Classes;
};

} // namespace cyclamencroft
