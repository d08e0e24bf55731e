// Early detection of stragglers by their overdue tasks.
#include "entry/ProgressEstimate.h"
#include "entry/Router.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

constexpr Duration MeanRunTime = 100ms;

AgentHello helloOf(const std::string &Id) {
  AgentHello Hello;
  Hello.m_AgentId = Id;
  Hello.m_Service = "desk";
  Hello.m_EndpointAddress = Id;
  Hello.m_Slots = 4;
  return Hello;
}

/// A router with agents that each have finished ten tasks of mean run time.
struct Fleet {
  explicit Fleet(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Agents.push_back(m_Router.addAgent(helloOf(std::to_string(I)), m_Now));
    for (int Round = 0; Round < 10; ++Round)
      for (const AgentIndex Agent : m_Agents) {
        m_Router.dispatched(Agent, m_Now);
        finish(Agent);
      }
  }

  void finish(AgentIndex Agent) {
    TaskResult Result;
    Result.m_RunTime = MeanRunTime;
    m_Router.finished(Agent, Result, m_Now);
  }

  /// Routes and dispatches the next \p Count tasks; returns how many of them
  /// went to \p Agent.
  std::size_t dispatchAndCount(AgentIndex Agent, std::size_t Count) {
    std::size_t Chosen = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      NoRoute NoRouteReason = NoRoute::AllBusy;
      const auto To = m_Router.choose({"desk", {}, {}}, SharePolicy{}, m_Now,
                                      NoRouteReason);
      if (!To)
        continue;
      Chosen += *To == Agent;
      m_Router.dispatched(*To, m_Now);
    }
    return Chosen;
  }

  Router m_Router{1};
  TimePoint m_Now{1s};
  std::vector<AgentIndex> m_Agents;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Stragglers)

// Guards against a straggler that is detected only when its first slow task
// ends.
BOOST_AUTO_TEST_CASE(OutstandingTasksWithoutEndBecomeOverdue) {
  ProgressEstimate Progress;
  Progress.taskSent(TimePoint(0s));
  Progress.taskSent(TimePoint(0s));
  BOOST_TEST(Progress.overdueTasks(TimePoint(200ms), MeanRunTime) == 4.0);
  Progress.taskFinished(TimePoint(200ms));
  BOOST_TEST(Progress.overdueTasks(TimePoint(300ms), MeanRunTime) == 1.0);
}

// Guards against an idle agent that is counted as slow.
BOOST_AUTO_TEST_CASE(IdleAgentIsNeverOverdue) {
  ProgressEstimate Progress;
  Progress.taskSent(TimePoint(0s));
  Progress.taskRemoved(TimePoint(10s));
  BOOST_TEST(Progress.overdueTasks(TimePoint(60s), MeanRunTime) == 0.0);
}

// Guards against a straggler that gets further tasks because only its share has
// room left.
BOOST_AUTO_TEST_CASE(StragglerGetsNoFurtherTasks) {
  Fleet Agents(4);
  const AgentIndex Slow = Agents.m_Agents[0];
  Agents.m_Router.dispatched(Slow, Agents.m_Now);
  Agents.m_Router.dispatched(Slow, Agents.m_Now);
  Agents.m_Now += 5 * MeanRunTime;
  BOOST_TEST(Agents.m_Router.isSlow(Slow, Agents.m_Now));
  BOOST_TEST(Agents.dispatchAndCount(Slow, 16) == 0U);
}

// Guards against a service that gets no tasks any more because the run times of
// all its agents have grown.
BOOST_AUTO_TEST_CASE(ServiceWhoseAgentsAreAllSlowStillGetsTasks) {
  Fleet Agents(4);
  for (const AgentIndex Agent : Agents.m_Agents)
    Agents.m_Router.dispatched(Agent, Agents.m_Now);
  Agents.m_Now += 20 * MeanRunTime;
  std::size_t Sent = 0;
  for (const AgentIndex Agent : Agents.m_Agents)
    Sent += Agents.dispatchAndCount(Agent, 4);
  BOOST_TEST(Sent > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
