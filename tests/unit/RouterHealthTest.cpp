// Router: stragglers, ejection, baseline policies and the reuse of rows.
#include "Routing.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <set>

using namespace cyclamencroft;

BOOST_FIXTURE_TEST_SUITE(RouterHealth, Routing)

// Guards against slow agents that get as many tasks as the others.
BOOST_AUTO_TEST_CASE(StragglersGetFewerTasks) {
  const std::vector<AgentIndex> Agents = addMany(4);
  for (int Round = 0; Round < 20; ++Round)
    for (std::size_t I = 0; I < Agents.size(); ++I) {
      m_Router.dispatched(Agents[I], m_Now);
      finish(Agents[I], Outcome::Completed, I == 0 ? 1s : 100ms);
    }
  std::map<AgentIndex, int> Chosen;
  for (int I = 0; I < 16; ++I)
    ++Chosen[dispatch().value()];
  BOOST_TEST(Chosen[Agents[0]] <= 1);
}

// Guards against an agent that fails every task immediately and thereby
// attracts all tasks as the least loaded one.
BOOST_AUTO_TEST_CASE(AgentThatFailsEverythingIsEjected) {
  const AgentIndex Bad = add("bad");
  add("w1");
  add("w2");
  failTimes(Bad, 5);
  for (int I = 0; I < 16; ++I)
    BOOST_TEST((dispatch() != Bad));
  BOOST_TEST(!choose().has_value());
  BOOST_TEST(m_Router.slots("permits") == 16u);
}

// Guards against a service that loses all agents to ejection when the fault
// lies in its requests.
BOOST_AUTO_TEST_CASE(AtMostAThirdIsEjected) {
  const std::vector<AgentIndex> Agents = addMany(11);
  for (const AgentIndex Agent : Agents)
    failTimes(Agent, 20);
  BOOST_TEST(m_Router.slots("permits") == 64u);
}

// Guards against ejected agents that are the only ones left after a rack or
// failure domain is lost: the limit on ejections applies to the remaining
// agents.
BOOST_AUTO_TEST_CASE(EjectionEndsWhenTooFewAgentsRemain) {
  const AgentIndex Bad = add("bad");
  const AgentIndex First = add("w1");
  const AgentIndex Second = add("w2");
  failTimes(Bad, 5);
  m_Router.setAvailable(First, false);
  m_Router.setAvailable(Second, false);
  BOOST_TEST((dispatch() == Bad));
}

// Guards against many tasks at once for an agent that has just been readmitted,
// and against an ejection that ends without a wakeup.
BOOST_AUTO_TEST_CASE(ReadmittedAgentGetsOneTaskAtATime) {
  const AgentIndex Bad = add("bad");
  const AgentIndex First = add("w1", 1);
  const AgentIndex Second = add("w2", 1);
  failTimes(Bad, 5);
  m_Router.dispatched(First, m_Now);
  m_Router.dispatched(Second, m_Now);
  BOOST_TEST(!choose().has_value());
  BOOST_TEST((m_Router.nextChange() == RoutingStart + 5s));
  m_Now += 5s;
  for (int I = 0; I < 5; ++I) {
    BOOST_TEST((dispatch() == Bad));
    BOOST_TEST(!choose().has_value());
    finish(Bad);
  }
  BOOST_TEST(dispatchAll() == 8u);
}

// Guards against a readmitted agent that has to fail many tasks again before it
// is ejected, and against ejection periods that do not grow.
BOOST_AUTO_TEST_CASE(FailureAfterReadmissionEjectsForLonger) {
  const AgentIndex Bad = add("bad");
  add("w1");
  add("w2");
  failTimes(Bad, 5);
  Duration Expected = 5s;
  for (int Round = 0; Round < 6; ++Round) {
    BOOST_TEST((m_Router.nextChange() == m_Now + Expected));
    m_Now += Expected;
    choose();
    BOOST_TEST(m_Router.slots("permits") == 24u);
    failTimes(Bad, 1);
    BOOST_TEST(m_Router.slots("permits") == 16u);
    Expected = std::min<Duration>(2 * Expected, 60s);
  }
}

// Guards against baseline policies that keep choosing full agents without end.
BOOST_AUTO_TEST_CASE(BaselinesStopAtSlotsPlusQueue) {
  for (const RoutingPolicy &Policy :
       {RoutingPolicy(RandomPolicy{}), RoutingPolicy(RoundRobinPolicy{}),
        RoutingPolicy(LeastLoadedPolicy{})}) {
    Routing R;
    R.m_Policy = Policy;
    R.m_Router.setAgentQueue(2);
    R.add("w1");
    R.add("w2");
    BOOST_TEST(R.dispatchAll() == 20u);
  }
}

// Guards against a reused row that keeps the load or health of the previous
// agent.
BOOST_AUTO_TEST_CASE(ReusedRowsStartFromDefaults) {
  const AgentIndex First = add("w1");
  dispatchAll();
  m_Router.removeAgent(First);
  BOOST_TEST(m_Router.slots("permits") == 0u);
  const AgentIndex Again = add("w2");
  BOOST_TEST(Again == First);
  BOOST_TEST(dispatchAll() == 8u);
}

// Guards against operations that leave an agent in two sets or in none: under
// random operations, the free capacity that choices find must match the
// capacity that the test counts itself.
BOOST_AUTO_TEST_CASE(SetsStayConsistentUnderRandomOperations) {
  std::uint64_t State = 42;
  const auto Draw = [&State](std::uint32_t Bound) {
    State = State * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<std::uint32_t>(State >> 33) % Bound;
  };
  std::map<AgentIndex, std::uint32_t> Own;
  std::uint32_t Total = 0;
  for (int Step = 0; Step < 20000; ++Step) {
    // Longer than the time for which dispatches count as in flight.
    m_Now += 5ms;
    if (Own.size() < 5 || (Own.size() < 30 && Draw(50) == 0))
      Own[add("w" + std::to_string(Step))] = 0;
    auto Row = Own.begin();
    std::advance(Row, Draw(static_cast<std::uint32_t>(Own.size())));
    const std::uint32_t Kind = Draw(100);
    if (Kind == 0) {
      Total -= Row->second;
      m_Router.removeAgent(Row->first);
      Own.erase(Row);
    } else if (Kind < 55) {
      const auto Agent = dispatch();
      BOOST_REQUIRE(Agent.has_value() == (Total < Own.size() * 8));
      if (Agent) {
        ++Total;
        BOOST_REQUIRE(++Own.at(*Agent) <= 8u);
      }
    } else if (Row->second > 0) {
      --Row->second;
      --Total;
      // Tasks end in random order; with a mean run time longer than the test,
      // no agent counts as a straggler.
      finish(Row->first, Outcome::Completed, 1h, Row->second);
    }
    BOOST_REQUIRE(m_Router.slots("permits") == Own.size() * 8);
  }
}

// Guards against choices whose cost grows with the number of agents: at 2,000
// agents a choice must not scan them. The limit leaves room for busy machines;
// a scan costs more than ten times as much.
BOOST_AUTO_TEST_CASE(ChoiceIsCheapAtTwoThousandAgents) {
  m_Router.setEntries(4);
  for (int I = 0; I < 2000; ++I)
    add("w" + std::to_string(I));
  const auto Begin = std::chrono::steady_clock::now();
  constexpr int Choices = 200000;
  std::vector<AgentIndex> Outstanding;
  for (int I = 0; I < Choices; ++I) {
    m_Now += 8us;
    Outstanding.push_back(dispatch().value());
    if (Outstanding.size() < 10000)
      continue;
    const std::size_t Oldest = static_cast<std::size_t>(I) % Outstanding.size();
    finish(Outstanding[Oldest], Outcome::Completed, 100ms, 5);
    Outstanding[Oldest] = Outstanding.back();
    Outstanding.pop_back();
  }
  const std::chrono::duration<double, std::micro> Spent =
      std::chrono::steady_clock::now() - Begin;
  BOOST_TEST_MESSAGE("us per choice, dispatch and result: " << Spent.count() /
                                                                   Choices);
  BOOST_TEST(Spent.count() / Choices < 5.0);
}

BOOST_AUTO_TEST_SUITE_END()
