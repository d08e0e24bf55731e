// One chooser per routing policy. Each returns an agent with room for the task
// or nothing; Router visits the policy's variant with them.
#pragma once

#include "entry/FittingAgents.h"
#include "entry/RandomSource.h"

#include <optional>

namespace cyclamencroft {

/// What every chooser works on.
struct ChoiceContext {
  EndpointTable &m_Table;
  ServiceGroup &m_Service;
  RandomSource &m_Random;
  const FittingAgents &m_Agents;
  TimePoint m_Now;
};

/// Power of two choices in the own share, then among slots believed free.
std::optional<AgentIndex> chooseByShare(const ChoiceContext &Context);

/// Any agent that is available.
std::optional<AgentIndex> chooseAtRandom(const ChoiceContext &Context);

/// The agents in turn.
std::optional<AgentIndex> chooseInTurn(const ChoiceContext &Context);

/// The lowest last report plus own tasks; scans all agents.
std::optional<AgentIndex> chooseLeastLoaded(const ChoiceContext &Context);

/// True when a baseline policy may choose the agent: it takes work, and the
/// entry's own tasks there are below its slots plus its queue. Baselines look
/// at neither load nor health.
bool hasBaselineRoom(const EndpointTable &Table, AgentIndex Agent);

} // namespace cyclamencroft
