// Agents of a service that are large enough for a task, as one numbered list
// over the size classes, so that policies can draw from it at random.
#pragma once

#include "entry/EndpointTable.h"

#include <boost/container/small_vector.hpp>

#include <optional>

namespace cyclamencroft {

class FittingAgents {
public:
  FittingAgents(const EndpointTable &Table, const ServiceGroup &Service,
                const RouteQuery &Query);

  /// Number of agents at \p Where, without the one to avoid.
  std::size_t count(Place Where) const;
  /// Agent \p Index of those.
  AgentIndex get(Place Where, std::size_t Index) const;

  /// Number of members of the service, the one to avoid included.
  std::size_t memberCount() const;
  AgentIndex member(std::size_t Index) const;

  /// Agents that take work, with or without room; without the one to avoid.
  std::size_t inRotation() const;

  /// True when some agent is only ejected and will return by itself.
  bool anyEjected() const;

  bool empty() const { return m_Classes.empty(); }
  std::optional<AgentIndex> avoided() const { return m_Avoid; }

private:
  bool avoidsAt(const SizeClass &Class, Place Where) const;

  const EndpointTable &m_Table;
  /// Set only when the agent to avoid is among the fitting ones.
  std::optional<AgentIndex> m_Avoid;
  boost::container::small_vector<const SizeClass *, 8> m_Classes;
};

} // namespace cyclamencroft
