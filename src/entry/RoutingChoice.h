// One choice function per routing policy. Each returns an agent with capacity
// for the task or nothing; Router selects the function by the policy variant.
#pragma once

#include "entry/FittingAgents.h"
#include "entry/RandomSource.h"

#include <optional>

namespace cyclamencroft {

/// Input of the choice functions.
struct ChoiceContext {
  EndpointTable &m_Table;
  ServiceGroup &m_Service;
  RandomSource &m_Random;
  const FittingAgents &m_Agents;
  TimePoint m_Now;
};

/// Power of two choices among agents with capacity in the entry's own share,
/// then among those with slots to borrow, then among those with capacity in
/// their queue.
std::optional<AgentIndex> chooseByShare(const ChoiceContext &Context);

/// A random available agent.
std::optional<AgentIndex> chooseAtRandom(const ChoiceContext &Context);

/// Round robin over the available agents.
std::optional<AgentIndex> chooseRoundRobin(const ChoiceContext &Context);

/// The agent with the lowest running count in its last report; scans all
/// agents.
std::optional<AgentIndex> chooseLeastLoaded(const ChoiceContext &Context);

/// True when a baseline policy may choose the agent: it accepts tasks, and the
/// entry has fewer own tasks there than its slots plus its queue. The check
/// uses neither the reported load nor the health.
bool hasBaselineCapacity(const EndpointTable &Table, AgentIndex Agent);

} // namespace cyclamencroft
