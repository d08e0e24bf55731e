// Choices of the router from loads, shares, health and sizes.
#include "entry/Router.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <set>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

AgentHello hello(const std::string &Id, std::uint32_t Slots = 8) {
  AgentHello Hello;
  Hello.m_AgentId = Id;
  Hello.m_Service = "permits";
  Hello.m_EndpointAddress = Id + ":80";
  Hello.m_Slots = Slots;
  Hello.m_Connections = 64;
  Hello.m_Size = Size{64, 131072, 0};
  return Hello;
}

struct Routing {
  Router m_Router{7};
  RoutingPolicy m_Policy = SharePolicy{};
  TimePoint m_Now = Start;
  NoRoute m_Why = NoRoute::AllBusy;

  AgentIndex add(const std::string &Id, std::uint32_t Slots = 8) {
    return m_Router.addAgent(hello(Id, Slots), m_Now);
  }
  std::vector<AgentIndex> addMany(std::size_t Count) {
    std::vector<AgentIndex> Agents(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Agents[I] = add("w" + std::to_string(I));
    return Agents;
  }
  std::optional<AgentIndex> choose(RouteQuery Query = {"permits", {}, {}}) {
    return m_Router.choose(Query, m_Policy, m_Now, m_Why);
  }
  std::optional<AgentIndex> dispatch() {
    const auto Agent = choose();
    if (Agent)
      m_Router.dispatched(*Agent, m_Now);
    return Agent;
  }
  void finish(AgentIndex Agent, Outcome End = Outcome::Completed,
              Duration RunTime = 100ms, std::uint32_t Running = 0) {
    TaskResult Result;
    Result.m_Outcome = End;
    Result.m_HttpStatus = 200;
    Result.m_RunTime = RunTime;
    Result.m_Running = Running;
    m_Router.finished(Agent, Result, m_Now);
  }
  void refuse(AgentIndex Agent, std::uint32_t Running) {
    TaskRefused Refusal;
    Refusal.m_Reason = RefusalReason::NoSlot;
    Refusal.m_Running = Running;
    m_Router.refused(Agent, Refusal, m_Now);
  }
  void failTimes(AgentIndex Agent, int Times) {
    for (int I = 0; I < Times; ++I) {
      m_Router.dispatched(Agent, m_Now);
      finish(Agent, Outcome::Failed);
    }
  }
  std::uint32_t dispatchAll() {
    std::uint32_t Count = 0;
    while (dispatch())
      ++Count;
    return Count;
  }
};

struct RoutingCase {
  Routing m_R;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Routes, RoutingCase)

// Guards against tasks sent to agents that are known to be full.
BOOST_AUTO_TEST_CASE(NoTaskIsSentBeyondTheSlots) {
  for (int I = 0; I < 11; ++I)
    m_R.add("w" + std::to_string(I));
  BOOST_TEST(m_R.dispatchAll() == 88u);
  BOOST_TEST((m_R.m_Why == NoRoute::AllBusy));
}

// Guards against tasks lost in a wait although an agent has reported a free
// slot.
BOOST_AUTO_TEST_CASE(ResultFreesASlotAtOnce) {
  const AgentIndex Agent = m_R.add("w1", 1);
  BOOST_TEST(m_R.dispatchAll() == 1u);
  m_R.m_Now += 50ms;
  m_R.finish(Agent);
  BOOST_TEST(m_R.choose().has_value());
}

// Guards against two entries that both hold all slots of one agent in their
// shares: the shares of three entries must not add up to more than the slots.
BOOST_AUTO_TEST_CASE(OwnShareIsUsedBeforeSlotsAreBorrowed) {
  m_R.m_Router.setEntries(3);
  std::map<AgentIndex, std::uint32_t> Own;
  for (int I = 0; I < 12; ++I)
    m_R.add("w" + std::to_string(I));
  for (int I = 0; I < 32; ++I)
    ++Own[m_R.dispatch().value()];
  for (const auto &[Agent, Count] : Own)
    BOOST_TEST(Count <= 3u);
  BOOST_TEST(Own.size() == 12u);
}

// Guards against an entry with a long job that borrows every slot of every
// agent, so that requests at other entries find none.
BOOST_AUTO_TEST_CASE(BorrowingLeavesSomeSlotsFree) {
  m_R.m_Router.setEntries(3);
  for (int I = 0; I < 40; ++I)
    m_R.add("w" + std::to_string(I));
  const std::uint32_t Taken = m_R.dispatchAll();
  BOOST_TEST(Taken < 320u);
  BOOST_TEST(Taken > 300u);
}

// Guards against an entry stuck behind a report of full slots: agents send
// nothing to an entry that has no task there.
BOOST_AUTO_TEST_CASE(StaleReportIsTriedAgain) {
  AgentHello Hello = hello("w1");
  Hello.m_Running = 8;
  const AgentIndex Agent = m_R.m_Router.addAgent(Hello, m_R.m_Now);
  BOOST_TEST(!m_R.choose().has_value());
  const TimePoint Due = m_R.m_Router.nextChange();
  BOOST_TEST((Due - m_R.m_Now == 100ms));
  m_R.m_Now = Due;
  BOOST_TEST((m_R.dispatch() == Agent));
  BOOST_TEST(!m_R.choose().has_value());
}

// Guards against a stream of refused trials at an agent that stays full; each
// is two wasted messages.
BOOST_AUTO_TEST_CASE(TrialsAtAFullAgentBecomeRarer) {
  AgentHello Hello = hello("w1");
  Hello.m_Running = 8;
  const AgentIndex Agent = m_R.m_Router.addAgent(Hello, m_R.m_Now);
  int Trials = 0;
  const TimePoint End = m_R.m_Now + 10s;
  while (m_R.m_Now < End) {
    m_R.m_Now = m_R.m_Router.nextChange();
    if (!m_R.dispatch())
      continue;
    ++Trials;
    m_R.refuse(Agent, 8);
  }
  BOOST_TEST(Trials >= 6);
  BOOST_TEST(Trials <= 10);
}

// Guards against a loop of dispatch and refusal when the agent refuses although
// its running count is below its slots (connections used up).
BOOST_AUTO_TEST_CASE(RefusalForLackOfRoomIsNotRepeatedAtOnce) {
  const AgentIndex Agent = m_R.add("w1");
  m_R.dispatch();
  m_R.refuse(Agent, 2);
  BOOST_TEST(!m_R.choose().has_value());
}

// Guards against bursts on stale reports when other entries fill the slots:
// each refused task is two wasted messages.
BOOST_AUTO_TEST_CASE(BurstAfterARefusalTriesOneTaskAnAgent) {
  const std::vector<AgentIndex> Agents = m_R.addMany(4);
  m_R.m_Now += 200ms;
  const AgentIndex Full = m_R.dispatch().value();
  m_R.m_Now += 1ms;
  m_R.refuse(Full, 8);
  BOOST_TEST(m_R.dispatchAll() == 3u);
  BOOST_TEST((m_R.m_Router.nextChange() == m_R.m_Now + 4ms));
  m_R.m_Now += 4ms;
  BOOST_TEST(m_R.dispatchAll() == 3u);
  m_R.m_Now += 2s;
  BOOST_TEST(m_R.dispatchAll() == 26u);
}

// Guards against caution without cause: an idle system fills all slots at once.
BOOST_AUTO_TEST_CASE(BurstWithoutRefusalsFillsAllSlots) {
  m_R.addMany(4);
  m_R.m_Now += 10s;
  BOOST_TEST(m_R.dispatchAll() == 32u);
}

// Guards against overload of one agent by dispatches that its last report can't
// include yet.
BOOST_AUTO_TEST_CASE(DispatchesUnderWayCountBesidesTheReport) {
  const AgentIndex Agent = m_R.add("w1");
  for (int I = 0; I < 4; ++I)
    m_R.dispatch();
  m_R.m_Now += 500us;
  // The agent had 6 foreign tasks and one of ours; three are under way.
  m_R.finish(Agent, Outcome::Completed, 100us, 6);
  BOOST_TEST(!m_R.choose().has_value());
}

// Guards against slow agents that get as many tasks as the others.
BOOST_AUTO_TEST_CASE(StragglersGetFewerTasks) {
  const std::vector<AgentIndex> Agents = m_R.addMany(4);
  for (int Round = 0; Round < 20; ++Round)
    for (std::size_t I = 0; I < Agents.size(); ++I) {
      m_R.m_Router.dispatched(Agents[I], m_R.m_Now);
      m_R.finish(Agents[I], Outcome::Completed, I == 0 ? 1s : 100ms);
    }
  std::map<AgentIndex, int> Chosen;
  for (int I = 0; I < 16; ++I)
    ++Chosen[m_R.dispatch().value()];
  BOOST_TEST(Chosen[Agents[0]] <= 1);
}

// Guards against an agent that fails every task at once and thereby attracts
// all tasks as the least loaded one.
BOOST_AUTO_TEST_CASE(AgentThatFailsEverythingIsEjected) {
  const AgentIndex Bad = m_R.add("bad");
  m_R.add("w1");
  m_R.add("w2");
  m_R.failTimes(Bad, 5);
  for (int I = 0; I < 16; ++I)
    BOOST_TEST((m_R.dispatch() != Bad));
  BOOST_TEST(!m_R.choose().has_value());
  BOOST_TEST(m_R.m_Router.slots("permits") == 16u);
}

// Guards against a service that loses all agents to ejection when the fault is
// in its requests.
BOOST_AUTO_TEST_CASE(AtMostAThirdIsEjected) {
  const std::vector<AgentIndex> Agents = m_R.addMany(11);
  for (const AgentIndex Agent : Agents)
    m_R.failTimes(Agent, 20);
  BOOST_TEST(m_R.m_Router.slots("permits") == 64u);
}

// Guards against ejected agents that are the only ones left after a rack or
// domain is lost: the limit holds for the agents that remain.
BOOST_AUTO_TEST_CASE(EjectionEndsWhenTooFewAgentsRemain) {
  const AgentIndex Bad = m_R.add("bad");
  const AgentIndex First = m_R.add("w1");
  const AgentIndex Second = m_R.add("w2");
  m_R.failTimes(Bad, 5);
  m_R.m_Router.setAvailable(First, false);
  m_R.m_Router.setAvailable(Second, false);
  BOOST_TEST((m_R.dispatch() == Bad));
}

// Guards against a flood of tasks on an agent that has just been readmitted,
// and against an ejection that ends without a wakeup.
BOOST_AUTO_TEST_CASE(ReadmittedAgentGetsOneTaskAtATime) {
  const AgentIndex Bad = m_R.add("bad");
  const AgentIndex First = m_R.add("w1", 1);
  const AgentIndex Second = m_R.add("w2", 1);
  m_R.failTimes(Bad, 5);
  m_R.m_Router.dispatched(First, m_R.m_Now);
  m_R.m_Router.dispatched(Second, m_R.m_Now);
  BOOST_TEST(!m_R.choose().has_value());
  BOOST_TEST((m_R.m_Router.nextChange() == Start + 5s));
  m_R.m_Now += 5s;
  for (int I = 0; I < 5; ++I) {
    BOOST_TEST((m_R.dispatch() == Bad));
    BOOST_TEST(!m_R.choose().has_value());
    m_R.finish(Bad);
  }
  BOOST_TEST(m_R.dispatchAll() == 8u);
}

// Guards against a readmitted agent that must fail many tasks again before it
// is ejected, and against ejections that do not grow.
BOOST_AUTO_TEST_CASE(FailureAfterReadmissionEjectsForLonger) {
  const AgentIndex Bad = m_R.add("bad");
  m_R.add("w1");
  m_R.add("w2");
  m_R.failTimes(Bad, 5);
  Duration Expected = 5s;
  for (int Round = 0; Round < 6; ++Round) {
    BOOST_TEST((m_R.m_Router.nextChange() == m_R.m_Now + Expected));
    m_R.m_Now += Expected;
    m_R.choose();
    BOOST_TEST(m_R.m_Router.slots("permits") == 24u);
    m_R.failTimes(Bad, 1);
    BOOST_TEST(m_R.m_Router.slots("permits") == 16u);
    Expected = std::min<Duration>(2 * Expected, 60s);
  }
}

// Guards against entries that all choose the same agents from the same hellos:
// bursts within the shares must cause no refusal. The baseline shows that the
// situation does cause refusals without shares.
BOOST_AUTO_TEST_CASE(BurstsAtSeveralEntriesDoNotCollide) {
  const auto CountRefusals = [](const RoutingPolicy &Policy) {
    std::map<AgentIndex, int> Running;
    int Refusals = 0;
    for (std::uint64_t Entry = 0; Entry < 3; ++Entry) {
      Router Own(Entry);
      Own.setEntries(3);
      for (int I = 0; I < 11; ++I)
        Own.addAgent(hello("w" + std::to_string(I)), Start);
      NoRoute Why = NoRoute::AllBusy;
      for (int I = 0; I < 28; ++I) {
        const auto Agent = Own.choose({"permits", {}, {}}, Policy, Start, Why);
        Own.dispatched(Agent.value(), Start);
        Refusals += ++Running[*Agent] > 8 ? 1 : 0;
      }
    }
    return Refusals;
  };
  BOOST_TEST(CountRefusals(SharePolicy{}) == 0);
  BOOST_TEST(CountRefusals(LeastLoadedPolicy{}) > 20);
}

// Guards against a retry on the agent that has just failed the task while
// another one has room, and against a task that waits for another agent and
// holds up all tasks behind it.
BOOST_AUTO_TEST_CASE(RetryAvoidsTheEarlierAgentWhileAnotherHasRoom) {
  const AgentIndex First = m_R.add("w1");
  const AgentIndex Second = m_R.add("w2", 1);
  const RouteQuery Retry{"permits", {}, First};
  for (int I = 0; I < 20; ++I)
    BOOST_TEST((m_R.choose(Retry) == Second));
  m_R.m_Router.dispatched(Second, m_R.m_Now);
  BOOST_TEST((m_R.choose(Retry) == First));
}

// Guards against tasks sent to endpoints that are too small, and against jobs
// that wait for ever although no endpoint can ever hold them.
BOOST_AUTO_TEST_CASE(TasksGoOnlyToEndpointsThatHoldThem) {
  m_R.add("small");
  AgentHello Large = hello("large", 1);
  Large.m_Size = Size{64, 131072, 2};
  const AgentIndex LargeAgent = m_R.m_Router.addAgent(Large, m_R.m_Now);
  const RouteQuery Query{"permits", Size{1, 1, 1}, {}};
  BOOST_TEST((m_R.choose(Query) == LargeAgent));
  m_R.m_Router.dispatched(LargeAgent, m_R.m_Now);
  BOOST_TEST(!m_R.choose(Query).has_value());
  BOOST_TEST((m_R.m_Why == NoRoute::AllBusy));
  const RouteQuery TooLarge{"permits", Size{1, 1, 3}, {}};
  BOOST_TEST(!m_R.choose(TooLarge).has_value());
  BOOST_TEST((m_R.m_Why == NoRoute::NoneFits));
  BOOST_TEST(!m_R.m_Router.fitsAny("permits", Size{1, 1, 3}));
}

// Guards against new work for agents that leave or lost their link.
BOOST_AUTO_TEST_CASE(UnavailableAgentsGetNothing) {
  const AgentIndex First = m_R.add("w1");
  const AgentIndex Second = m_R.add("w2");
  m_R.m_Router.setAvailable(First, false);
  m_R.m_Router.updateStatus(Second, {AgentState::Leaving, 8, 0}, m_R.m_Now);
  for (const RoutingPolicy &Policy :
       {RoutingPolicy(SharePolicy{}), RoutingPolicy(RandomPolicy{}),
        RoutingPolicy(RoundRobinPolicy{}),
        RoutingPolicy(LeastLoadedPolicy{})}) {
    m_R.m_Policy = Policy;
    BOOST_TEST(!m_R.choose().has_value());
    BOOST_TEST((m_R.m_Why == NoRoute::NoEndpoint));
  }
}

// Guards against baselines that never run dry and loop on full agents.
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

// Guards against a queue at the agents that the share policy leaves unused or
// overfills.
BOOST_AUTO_TEST_CASE(AgentQueueIsUsedAfterTheSlots) {
  m_R.m_Router.setAgentQueue(2);
  m_R.add("w1");
  m_R.add("w2");
  BOOST_TEST(m_R.dispatchAll() == 20u);
}

// Guards against a row that is reused with the load or health of the agent
// before.
BOOST_AUTO_TEST_CASE(RowsAreReusedClean) {
  const AgentIndex First = m_R.add("w1");
  m_R.dispatchAll();
  m_R.m_Router.removeAgent(First);
  BOOST_TEST(m_R.m_Router.slots("permits") == 0u);
  const AgentIndex Again = m_R.add("w2");
  BOOST_TEST(Again == First);
  BOOST_TEST(m_R.dispatchAll() == 8u);
}

// Guards against random operations that leave an agent in two sets or none:
// the free capacity that choices find must be the one counted by hand.
BOOST_AUTO_TEST_CASE(SetsStayConsistentUnderRandomOperations) {
  std::uint64_t State = 42;
  const auto Draw = [&State](std::uint32_t Bound) {
    State = State * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<std::uint32_t>(State >> 33) % Bound;
  };
  std::map<AgentIndex, std::uint32_t> Own;
  std::uint32_t Total = 0;
  for (int Step = 0; Step < 20000; ++Step) {
    // Longer than the time for which dispatches count as under way.
    m_R.m_Now += 5ms;
    if (Own.size() < 5 || (Own.size() < 30 && Draw(50) == 0))
      Own[m_R.add("w" + std::to_string(Step))] = 0;
    auto Row = Own.begin();
    std::advance(Row, Draw(static_cast<std::uint32_t>(Own.size())));
    const std::uint32_t Kind = Draw(100);
    if (Kind == 0) {
      Total -= Row->second;
      m_R.m_Router.removeAgent(Row->first);
      Own.erase(Row);
    } else if (Kind < 55) {
      const auto Agent = m_R.dispatch();
      BOOST_REQUIRE(Agent.has_value() == (Total < Own.size() * 8));
      if (Agent) {
        ++Total;
        BOOST_REQUIRE(++Own.at(*Agent) <= 8u);
      }
    } else if (Row->second > 0) {
      --Row->second;
      --Total;
      // Tasks end in random order; with a usual run time longer than the test,
      // no agent is held back as a straggler.
      m_R.finish(Row->first, Outcome::Completed, 1h, Row->second);
    }
    BOOST_REQUIRE(m_R.m_Router.slots("permits") == Own.size() * 8);
  }
}

// Guards against choices whose cost grows with the agents: at 2,000 agents a
// choice must not scan them. The limit is generous for busy machines; a scan
// costs more than ten times as much.
BOOST_AUTO_TEST_CASE(ChoiceIsCheapAtTwoThousandAgents) {
  m_R.m_Router.setEntries(4);
  for (int I = 0; I < 2000; ++I)
    m_R.add("w" + std::to_string(I));
  const auto Begin = std::chrono::steady_clock::now();
  constexpr int Choices = 200000;
  std::vector<AgentIndex> Held;
  for (int I = 0; I < Choices; ++I) {
    m_R.m_Now += 8us;
    Held.push_back(m_R.dispatch().value());
    if (Held.size() < 10000)
      continue;
    const std::size_t Oldest = static_cast<std::size_t>(I) % Held.size();
    m_R.finish(Held[Oldest], Outcome::Completed, 100ms, 5);
    Held[Oldest] = Held.back();
    Held.pop_back();
  }
  const std::chrono::duration<double, std::micro> Spent =
      std::chrono::steady_clock::now() - Begin;
  BOOST_TEST_MESSAGE("us per choice, dispatch and result: " << Spent.count() /
                                                                   Choices);
  BOOST_TEST(Spent.count() / Choices < 5.0);
}

BOOST_AUTO_TEST_SUITE_END()
