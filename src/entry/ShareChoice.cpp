// Share policy, the policy for production use.
#include "entry/RoutingChoice.h"
#include "entry/Slowdown.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Relative cost of one more task at the agent; lower is better.
double score(const ChoiceContext &Context, AgentIndex Agent) {
  const EndpointRow &Row = Context.m_Table.row(Agent);
  const Duration MeanRunTime = Context.m_Service.m_RunTime.mean();
  const double Used = Row.m_Load.busySlots(Context.m_Now, MeanRunTime);
  const double SlowdownFactor = slowdown(Row, Context.m_Service, Context.m_Now);
  // The square ranks a straggler with all slots free behind a normal agent that
  // is nearly full: the wait for a slot is shorter than the longer run time.
  return (Used + 1) / Row.m_Slots * SlowdownFactor * SlowdownFactor;
}

std::optional<AgentIndex> betterOfTwo(const ChoiceContext &Context,
                                      CapacityState Capacity) {
  const auto Count =
      static_cast<std::uint32_t>(Context.m_Agents.count(Capacity));
  if (Count == 0)
    return std::nullopt;
  const std::uint32_t First = Context.m_Random.below(Count);
  const AgentIndex A = Context.m_Agents.get(Capacity, First);
  if (Count == 1)
    return A;
  std::uint32_t Second = Context.m_Random.below(Count - 1);
  Second += Second >= First ? 1 : 0;
  const AgentIndex B = Context.m_Agents.get(Capacity, Second);
  return score(Context, B) < score(Context, A) ? B : A;
}

/// Returns the agent to avoid when it has capacity. Used when no other agent
/// has capacity: a task that waits for another agent delays all tasks behind
/// it.
std::optional<AgentIndex>
avoidedAgentWithCapacity(const ChoiceContext &Context) {
  const auto Avoided = Context.m_Agents.avoided();
  if (!Avoided)
    return std::nullopt;
  const CapacityState Capacity = Context.m_Table.row(*Avoided).m_Capacity;
  const bool HasCapacity = Capacity != CapacityState::OutOfRotation &&
                           Capacity != CapacityState::Full;
  return HasCapacity ? Avoided : std::nullopt;
}

bool isStraggler(const ChoiceContext &Context, AgentIndex Agent) {
  const EndpointRow &Row = Context.m_Table.row(Agent);
  return slowdown(Row, Context.m_Service, Context.m_Now) >= StragglerRatio;
}

/// True when all of a few sampled agents are slow. When the run times of a
/// whole service grow, every agent appears slow until the mean catches up; the
/// sample distinguishes this case from a single straggler.
bool othersAreSlow(const ChoiceContext &Context, AgentIndex Agent) {
  constexpr int Samples = 4;
  const auto Count = static_cast<std::uint32_t>(Context.m_Agents.memberCount());
  for (int I = 0; I < Samples; ++I) {
    const AgentIndex Other =
        Context.m_Agents.member(Context.m_Random.below(Count));
    const bool Usable = Context.m_Table.row(Other).takesWork();
    if (Other != Agent && Usable && !isStraggler(Context, Other))
      return false;
  }
  return true;
}

/// A straggler gets one task at a time, so that its recovery is detected. Any
/// further task is finished sooner in the next free slot of another agent.
bool mayUseStraggler(const ChoiceContext &Context, AgentIndex Straggler) {
  return Context.m_Table.row(Straggler).m_Progress.outstanding() == 0 ||
         othersAreSlow(Context, Straggler);
}

} // namespace

std::optional<AgentIndex> chooseByShare(const ChoiceContext &Context) {
  std::optional<AgentIndex> Straggler;
  for (const CapacityState Capacity :
       {CapacityState::Share, CapacityState::Borrow, CapacityState::Queue}) {
    const auto Agent = betterOfTwo(Context, Capacity);
    if (!Agent)
      continue;
    if (!isStraggler(Context, *Agent))
      return Agent;
    Straggler = Agent;
  }
  if (!Straggler)
    return avoidedAgentWithCapacity(Context);
  return mayUseStraggler(Context, *Straggler) ? Straggler : std::nullopt;
}

} // namespace cyclamencroft
