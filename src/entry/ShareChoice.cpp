// The policy that is used in earnest.
#include "entry/RoutingChoice.h"
#include "entry/Slowdown.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Expected burden of one more task; lower is better.
double score(const ChoiceContext &Context, AgentIndex Agent) {
  const EndpointRow &Row = Context.m_Table.row(Agent);
  const Duration Usual = Context.m_Service.m_RunTime.mean();
  const double Used = Row.m_Load.used(Context.m_Now, Usual);
  const double Slow = slowdown(Row, Context.m_Service, Context.m_Now);
  // The square keeps a straggler with all slots free behind a normal agent
  // that is nearly full: the wait for a slot is shorter than the longer run.
  return (Used + 1) / Row.m_Slots * Slow * Slow;
}

std::optional<AgentIndex> betterOfTwo(const ChoiceContext &Context,
                                      Place Where) {
  const auto Count = static_cast<std::uint32_t>(Context.m_Agents.count(Where));
  if (Count == 0)
    return std::nullopt;
  const std::uint32_t First = Context.m_Random.below(Count);
  const AgentIndex A = Context.m_Agents.get(Where, First);
  if (Count == 1)
    return A;
  std::uint32_t Second = Context.m_Random.below(Count - 1);
  Second += Second >= First ? 1 : 0;
  const AgentIndex B = Context.m_Agents.get(Where, Second);
  return score(Context, B) < score(Context, A) ? B : A;
}

/// The agent of the earlier attempt, when no other one has room: a task that
/// waited for another agent would hold up all tasks behind it.
std::optional<AgentIndex> lastResort(const ChoiceContext &Context) {
  const auto Avoided = Context.m_Agents.avoided();
  if (!Avoided)
    return std::nullopt;
  const Place Where = Context.m_Table.row(*Avoided).m_Place;
  const bool HasRoom = Where != Place::Out && Where != Place::Full;
  return HasRoom ? Avoided : std::nullopt;
}

bool isStraggler(const ChoiceContext &Context, AgentIndex Agent) {
  const EndpointRow &Row = Context.m_Table.row(Agent);
  return slowdown(Row, Context.m_Service, Context.m_Now) >= StragglerRatio;
}

/// When the run times of a whole service grow, every agent looks slow until the
/// mean follows; a sample tells that from one straggler.
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

/// A straggler keeps one task, so that its recovery is seen. Beyond that, a
/// task is served sooner by the next free slot of any other agent.
bool mayTakeMore(const ChoiceContext &Context, AgentIndex Straggler) {
  return Context.m_Table.row(Straggler).m_Progress.outstanding() == 0 ||
         othersAreSlow(Context, Straggler);
}

} // namespace

std::optional<AgentIndex> chooseByShare(const ChoiceContext &Context) {
  std::optional<AgentIndex> Straggler;
  for (const Place Where : {Place::Share, Place::Borrow, Place::Queue}) {
    const auto Agent = betterOfTwo(Context, Where);
    if (!Agent)
      continue;
    if (!isStraggler(Context, *Agent))
      return Agent;
    Straggler = Agent;
  }
  if (!Straggler)
    return lastResort(Context);
  return mayTakeMore(Context, *Straggler) ? Straggler : std::nullopt;
}

} // namespace cyclamencroft
