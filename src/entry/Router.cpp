// Router: combines the endpoint table with the choice functions of the
// policies.
#include "entry/Router.h"

#include "entry/EndpointTable.h"
#include "entry/FittingAgents.h"
#include "entry/RandomSource.h"
#include "entry/RoutingChoice.h"
#include "entry/Slowdown.h"

namespace cyclamencroft {
namespace {

/// Calls the choice function of the configured policy.
struct PolicyVisitor {
  const ChoiceContext &m_Context;

  std::optional<AgentIndex> operator()(const SharePolicy &) const {
    return chooseByShare(m_Context);
  }
  std::optional<AgentIndex> operator()(const RandomPolicy &) const {
    return chooseAtRandom(m_Context);
  }
  std::optional<AgentIndex> operator()(const RoundRobinPolicy &) const {
    return chooseRoundRobin(m_Context);
  }
  std::optional<AgentIndex> operator()(const LeastLoadedPolicy &) const {
    return chooseLeastLoaded(m_Context);
  }
};

/// Returns the reason why no agent of a known service was chosen.
NoRoute noRouteReason(const FittingAgents &Agents,
                      const ServiceGroup &Service) {
  if (Service.m_Available == 0)
    return NoRoute::NoEndpoint;
  if (Agents.empty())
    return NoRoute::NoneFits;
  const bool AvoidedFits = Agents.avoided().has_value();
  if (Agents.inRotation() > 0 || AvoidedFits || Agents.anyEjected())
    return NoRoute::AllBusy;
  return NoRoute::NoEndpoint;
}

/// True for a refusal reason that means that the agent has no capacity for any
/// task.
bool indicatesFullAgent(RefusalReason Reason) {
  return Reason != RefusalReason::DeadlinePassed &&
         Reason != RefusalReason::SequenceRepeated &&
         Reason != RefusalReason::Cancelled;
}

// Server errors of the endpoint count as failures too: an endpoint that answers
// every request with an immediate error would attract tasks as the fastest one.
constexpr std::uint16_t FirstServerError = 500;

bool isSuccess(const TaskResult &Result) {
  return Result.m_Outcome == Outcome::Completed &&
         Result.m_HttpStatus < FirstServerError;
}

/// Removes one own task from the agent's load estimate and records the reported
/// number of running tasks.
EndpointRow &settle(EndpointTable &Table, AgentIndex Agent,
                    std::uint32_t Running, TimePoint Now) {
  Table.advance(Now);
  EndpointRow &Row = Table.row(Agent);
  Row.m_Load.settled();
  Row.m_Load.reported(Running, Now);
  return Row;
}

} // namespace

class Router::Impl {
public:
  explicit Impl(std::uint64_t Seed) : m_Table(Seed), m_Random(Seed) {}

  EndpointTable m_Table;
  RandomSource m_Random;

  void recordResult(EndpointRow &Row, const TaskResult &Result, TimePoint Now) {
    Row.m_Load.accepted();
    if (!isSuccess(Result)) {
      Row.m_Health.taskFailed();
      return;
    }
    // Failures often end fast, and their run times would make a failing agent
    // appear fast.
    Row.m_Health.taskSucceeded();
    Row.m_RunTime.add(Result.m_RunTime, Now);
    if (Row.m_Class)
      Row.m_Class->m_Service->m_RunTime.add(Result.m_RunTime, Now);
  }
};

Router::Router(std::uint64_t Seed) : m_Impl(std::make_unique<Impl>(Seed)) {}

Router::~Router() = default;

AgentIndex Router::addAgent(const AgentHello &Hello, TimePoint Now) {
  return m_Impl->m_Table.add(Hello, Now);
}

void Router::removeAgent(AgentIndex Agent) { m_Impl->m_Table.remove(Agent); }

void Router::setAvailable(AgentIndex Agent, bool Available) {
  m_Impl->m_Table.setAvailable(Agent, Available);
}

void Router::updateStatus(AgentIndex Agent, const AgentStatus &Status,
                          TimePoint Now) {
  EndpointTable &Table = m_Impl->m_Table;
  Table.advance(Now);
  Table.row(Agent).m_Load.reported(Status.m_Running, Now);
  Table.setSlots(Agent, Status.m_Slots);
  Table.setDraining(Agent, Status.m_State == AgentState::Draining);
}

void Router::setEntries(std::uint32_t Entries) {
  m_Impl->m_Table.setEntries(Entries);
}

void Router::setAgentQueue(std::uint32_t Tasks) {
  m_Impl->m_Table.setAgentQueue(Tasks);
}

std::optional<AgentIndex> Router::choose(const RouteQuery &Query,
                                         const RoutingPolicy &Policy,
                                         TimePoint Now,
                                         NoRoute &NoRouteReason) {
  m_Impl->m_Table.advance(Now);
  ServiceGroup *Service = m_Impl->m_Table.find(Query.m_Service);
  if (!Service) {
    NoRouteReason = NoRoute::NoEndpoint;
    return std::nullopt;
  }
  const FittingAgents Agents(m_Impl->m_Table, *Service, Query);
  const ChoiceContext Context{m_Impl->m_Table, *Service, m_Impl->m_Random,
                              Agents, Now};
  const auto Agent = std::visit(PolicyVisitor{Context}, Policy);
  if (!Agent)
    NoRouteReason = noRouteReason(Agents, *Service);
  return Agent;
}

void Router::dispatched(AgentIndex Agent, TimePoint Now) {
  m_Impl->m_Table.advance(Now);
  EndpointRow &Row = m_Impl->m_Table.row(Agent);
  Row.m_Load.dispatched(Now);
  Row.m_Progress.taskSent(Now);
  m_Impl->m_Table.refresh(Agent);
}

void Router::finished(AgentIndex Agent, const TaskResult &Result,
                      TimePoint Now) {
  EndpointTable &Table = m_Impl->m_Table;
  EndpointRow &Row = settle(Table, Agent, Result.m_Running, Now);
  Row.m_Progress.taskFinished(Now);
  m_Impl->recordResult(Row, Result, Now);
  Table.ejectIfFailing(Agent);
  Table.refresh(Agent);
}

void Router::refused(AgentIndex Agent, const TaskRefused &Refusal,
                     TimePoint Now) {
  EndpointTable &Table = m_Impl->m_Table;
  EndpointRow &Row = settle(Table, Agent, Refusal.m_Running, Now);
  Row.m_Progress.taskRemoved(Now);
  if (indicatesFullAgent(Refusal.m_Reason))
    Row.m_Load.refusedAsFull(Row.m_Slots);
  if (Refusal.m_Reason == RefusalReason::NoSlot)
    Table.noteContention(Agent);
  Table.refresh(Agent);
}

void Router::abandoned(AgentIndex Agent, TimePoint Now) {
  EndpointRow &Row = m_Impl->m_Table.row(Agent);
  Row.m_Load.settled();
  Row.m_Progress.taskRemoved(Now);
  m_Impl->m_Table.refresh(Agent);
}

bool Router::isSlow(AgentIndex Agent, TimePoint Now) const {
  const EndpointRow &Row = m_Impl->m_Table.row(Agent);
  return Row.m_Class &&
         slowdown(Row, *Row.m_Class->m_Service, Now) >= StragglerRatio;
}

std::string_view Router::healthName(AgentIndex Agent, TimePoint Now) const {
  switch (m_Impl->m_Table.row(Agent).m_Health.state()) {
  case OutlierDetector::State::Ejected:
    return "ejected";
  case OutlierDetector::State::Readmitted:
    return "readmitted";
  case OutlierDetector::State::Normal:
    break;
  }
  return isSlow(Agent, Now) ? "straggler" : "available";
}

TimePoint Router::nextChange() const { return m_Impl->m_Table.nextChange(); }

Duration Router::meanRunTime(std::string_view Service) const {
  const ServiceGroup *Group = m_Impl->m_Table.find(Service);
  return Group ? Group->m_RunTime.mean() : Duration::zero();
}

std::uint32_t Router::slots(std::string_view Service) const {
  const ServiceGroup *Group = m_Impl->m_Table.find(Service);
  return Group ? Group->m_Slots : 0;
}

bool Router::fitsAny(std::string_view Service, const Size &Need) const {
  const ServiceGroup *Group = m_Impl->m_Table.find(Service);
  if (!Group)
    return false;
  for (const auto &Class : Group->m_Classes)
    if (!Class->m_Members.empty() && Class->m_Size.holds(Need))
      return true;
  return false;
}

} // namespace cyclamencroft
