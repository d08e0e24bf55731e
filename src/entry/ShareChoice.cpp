// The policy that is used in earnest.
#include "entry/RoutingChoice.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// A mean over fewer samples says little about an agent.
constexpr std::int64_t SamplesToJudge = 8;
// Run times of one service vary; below this ratio nothing is concluded.
constexpr double NormalRatio = 1.5;
constexpr double MaxRatio = 8.0;
// A straggler gets few tasks; after this time it is tried afresh.
constexpr Duration JudgementAge = std::chrono::seconds(10);

/// How many times slower than the service's mean the agent is; at least 1.
double slowdown(const EndpointRow &Row, const ServiceGroup &Service,
                TimePoint Now) {
  const RunTimeMean &Own = Row.m_RunTime;
  const Duration Usual = Service.m_RunTime.mean();
  if (Own.samples() < SamplesToJudge || Usual.count() <= 0)
    return 1.0;
  if (Now - Own.lastSample() > JudgementAge)
    return 1.0;
  const double Ratio = static_cast<double>(Own.mean().count()) / Usual.count();
  return Ratio < NormalRatio ? 1.0 : std::min(Ratio, MaxRatio);
}

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

} // namespace

std::optional<AgentIndex> chooseByShare(const ChoiceContext &Context) {
  for (const Place Where : {Place::Share, Place::Borrow, Place::Queue})
    if (const auto Agent = betterOfTwo(Context, Where))
      return Agent;
  return lastResort(Context);
}

} // namespace cyclamencroft
