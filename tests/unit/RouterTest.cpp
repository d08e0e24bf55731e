// Router: choices by load, shares and sizes.
#include "Routing.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <set>

using namespace cyclamencroft;

BOOST_FIXTURE_TEST_SUITE(Routes, Routing)

// Guards against tasks sent to agents that are known to be full.
BOOST_AUTO_TEST_CASE(NoTaskIsSentBeyondTheSlots) {
  for (int I = 0; I < 11; ++I)
    add("w" + std::to_string(I));
  BOOST_TEST(dispatchAll() == 88u);
  BOOST_TEST((m_NoRouteReason == NoRoute::AllBusy));
}

// Guards against tasks that stay waiting although an agent has reported a free
// slot.
BOOST_AUTO_TEST_CASE(ResultFreesASlotAtOnce) {
  const AgentIndex Agent = add("w1", 1);
  BOOST_TEST(dispatchAll() == 1u);
  m_Now += 50ms;
  finish(Agent);
  BOOST_TEST(choose().has_value());
}

// Guards against two entries that both count all slots of one agent as their
// shares: the shares of three entries must not add up to more than the slots.
BOOST_AUTO_TEST_CASE(OwnShareIsUsedBeforeSlotsAreBorrowed) {
  m_Router.setEntries(3);
  std::map<AgentIndex, std::uint32_t> Own;
  for (int I = 0; I < 12; ++I)
    add("w" + std::to_string(I));
  for (int I = 0; I < 32; ++I)
    ++Own[dispatch().value()];
  for (const auto &[Agent, Count] : Own)
    BOOST_TEST(Count <= 3u);
  BOOST_TEST(Own.size() == 12u);
}

// Guards against an entry with a long job that borrows every slot of every
// agent, so that requests at other entries find none.
BOOST_AUTO_TEST_CASE(BorrowingLeavesSomeSlotsFree) {
  m_Router.setEntries(3);
  for (int I = 0; I < 40; ++I)
    add("w" + std::to_string(I));
  const std::uint32_t Taken = dispatchAll();
  BOOST_TEST(Taken < 320u);
  BOOST_TEST(Taken > 300u);
}

// Guards against an entry that treats an agent as full indefinitely after a
// report of full slots: agents send nothing to an entry without tasks there.
BOOST_AUTO_TEST_CASE(StaleReportIsTriedAgain) {
  AgentHello Hello = hello("w1");
  Hello.m_Running = 8;
  const AgentIndex Agent = m_Router.addAgent(Hello, m_Now);
  BOOST_TEST(!choose().has_value());
  const TimePoint Due = m_Router.nextChange();
  BOOST_TEST((Due - m_Now == 100ms));
  m_Now = Due;
  BOOST_TEST((dispatch() == Agent));
  BOOST_TEST(!choose().has_value());
}

// Guards against continuous refused trials at an agent that stays full; each
// trial wastes two messages.
BOOST_AUTO_TEST_CASE(TrialsAtAFullAgentBecomeRarer) {
  AgentHello Hello = hello("w1");
  Hello.m_Running = 8;
  const AgentIndex Agent = m_Router.addAgent(Hello, m_Now);
  int Trials = 0;
  const TimePoint End = m_Now + 10s;
  while (m_Now < End) {
    m_Now = m_Router.nextChange();
    if (!dispatch())
      continue;
    ++Trials;
    refuse(Agent, 8);
  }
  BOOST_TEST(Trials >= 6);
  BOOST_TEST(Trials <= 10);
}

// Guards against a loop of dispatch and refusal when the agent refuses although
// its running count is below its slots (connections used up).
BOOST_AUTO_TEST_CASE(RefusalForLackOfCapacityIsNotRepeatedAtOnce) {
  const AgentIndex Agent = add("w1");
  dispatch();
  refuse(Agent, 2);
  BOOST_TEST(!choose().has_value());
}

// Guards against bursts on stale reports while other entries fill the slots:
// each refused task wastes two messages.
BOOST_AUTO_TEST_CASE(BurstAfterARefusalSendsOneTaskPerAgent) {
  const std::vector<AgentIndex> Agents = addMany(4);
  m_Now += 200ms;
  const AgentIndex Full = dispatch().value();
  m_Now += 1ms;
  refuse(Full, 8);
  BOOST_TEST(dispatchAll() == 3u);
  BOOST_TEST((m_Router.nextChange() == m_Now + 4ms));
  m_Now += 4ms;
  BOOST_TEST(dispatchAll() == 3u);
  m_Now += 2s;
  BOOST_TEST(dispatchAll() == 26u);
}

// Guards against limited dispatch without contention: an idle system fills all
// slots at once.
BOOST_AUTO_TEST_CASE(BurstWithoutRefusalsFillsAllSlots) {
  addMany(4);
  m_Now += 10s;
  BOOST_TEST(dispatchAll() == 32u);
}

// Guards against overload of an agent by dispatches that its last report cannot
// include yet.
BOOST_AUTO_TEST_CASE(DispatchesInFlightCountBesidesTheReport) {
  const AgentIndex Agent = add("w1");
  for (int I = 0; I < 4; ++I)
    dispatch();
  m_Now += 500us;
  // The agent ran 6 tasks of other entries and one of this entry, whose other
  // three are in flight.
  finish(Agent, Outcome::Completed, 100us, 6);
  BOOST_TEST(!choose().has_value());
}

// Guards against entries that all choose the same agents from the same hellos:
// bursts within the shares must cause no refusal. The baseline policy shows
// that the situation does cause refusals without shares.
BOOST_AUTO_TEST_CASE(BurstsAtSeveralEntriesDoNotCollide) {
  const auto CountRefusals = [](const RoutingPolicy &Policy) {
    std::map<AgentIndex, int> Running;
    int Refusals = 0;
    for (std::uint64_t Entry = 0; Entry < 3; ++Entry) {
      Router Own(Entry);
      Own.setEntries(3);
      for (int I = 0; I < 11; ++I)
        Own.addAgent(hello("w" + std::to_string(I)), RoutingStart);
      NoRoute NoRouteReason = NoRoute::AllBusy;
      for (int I = 0; I < 28; ++I) {
        const auto Agent = Own.choose({"permits", {}, {}}, Policy, RoutingStart,
                                      NoRouteReason);
        Own.dispatched(Agent.value(), RoutingStart);
        Refusals += ++Running[*Agent] > 8 ? 1 : 0;
      }
    }
    return Refusals;
  };
  BOOST_TEST(CountRefusals(SharePolicy{}) == 0);
  BOOST_TEST(CountRefusals(LeastLoadedPolicy{}) > 20);
}

// Guards against a retry at the agent that has just failed the task while
// another agent has capacity, and against a task that waits for another agent
// and delays all tasks behind it.
BOOST_AUTO_TEST_CASE(RetryAvoidsTheEarlierAgentWhileAnotherHasCapacity) {
  const AgentIndex First = add("w1");
  const AgentIndex Second = add("w2", 1);
  const RouteQuery Retry{"permits", {}, First};
  for (int I = 0; I < 20; ++I)
    BOOST_TEST((choose(Retry) == Second));
  m_Router.dispatched(Second, m_Now);
  BOOST_TEST((choose(Retry) == First));
}

// Guards against tasks sent to endpoints that are too small, and against jobs
// that wait indefinitely although no endpoint is large enough for them.
BOOST_AUTO_TEST_CASE(TasksGoOnlyToEndpointsThatHoldThem) {
  add("small");
  AgentHello Large = hello("large", 1);
  Large.m_Size = Size{64, 131072, 2};
  const AgentIndex LargeAgent = m_Router.addAgent(Large, m_Now);
  const RouteQuery Query{"permits", Size{1, 1, 1}, {}};
  BOOST_TEST((choose(Query) == LargeAgent));
  m_Router.dispatched(LargeAgent, m_Now);
  BOOST_TEST(!choose(Query).has_value());
  BOOST_TEST((m_NoRouteReason == NoRoute::AllBusy));
  const RouteQuery TooLarge{"permits", Size{1, 1, 3}, {}};
  BOOST_TEST(!choose(TooLarge).has_value());
  BOOST_TEST((m_NoRouteReason == NoRoute::NoneFits));
  BOOST_TEST(!m_Router.fitsAny("permits", Size{1, 1, 3}));
}

// Guards against new tasks for agents that are draining or have lost their
// link.
BOOST_AUTO_TEST_CASE(UnavailableAgentsGetNothing) {
  const AgentIndex First = add("w1");
  const AgentIndex Second = add("w2");
  m_Router.setAvailable(First, false);
  m_Router.updateStatus(Second, {AgentState::Draining, 8, 0}, m_Now);
  for (const RoutingPolicy &Policy :
       {RoutingPolicy(SharePolicy{}), RoutingPolicy(RandomPolicy{}),
        RoutingPolicy(RoundRobinPolicy{}),
        RoutingPolicy(LeastLoadedPolicy{})}) {
    m_Policy = Policy;
    BOOST_TEST(!choose().has_value());
    BOOST_TEST((m_NoRouteReason == NoRoute::NoEndpoint));
  }
}

// Guards against a queue at the agents that the share policy leaves unused or
// overfills.
BOOST_AUTO_TEST_CASE(AgentQueueIsUsedAfterTheSlots) {
  m_Router.setAgentQueue(2);
  add("w1");
  add("w2");
  BOOST_TEST(dispatchAll() == 20u);
}

BOOST_AUTO_TEST_SUITE_END()
