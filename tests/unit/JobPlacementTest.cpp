// Choice of endpoints: equal ones share the load; slow, stalled, failing and
// silent ones are ejected, and readmitted once they have recovered.
#include "JobHarness.h"

#include "jobs/Placement.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(JobPlacement, JobHarness)

// Guards against an uneven spread over equal endpoints.
BOOST_AUTO_TEST_CASE(TasksSpreadOverEqualEndpoints) {
  for (std::uint64_t Agent = 1; Agent <= 4; ++Agent)
    connectAgent(Agent, 10);
  feed(offer(1, 20));
  for (std::uint64_t Agent = 1; Agent <= 4; ++Agent)
    BOOST_TEST(runsAt(Agent).size() == 5U);
}

// Guards against a sum of sizes that overflows, so that a task which no
// endpoint holds seems to fit beside others. The job comes before the first
// endpoint.
BOOST_AUTO_TEST_CASE(ATaskOfTheLargestSizeIsNeverStarted) {
  for (const Size &Need :
       {Size{UINT32_MAX, 0, 0}, Size{0, UINT32_MAX, 0}, Size{0, 0, UINT32_MAX},
        Size{UINT32_MAX - 10, UINT32_MAX - 10, UINT32_MAX - 10}}) {
    JobHarness Harness;
    JobOffered Hopeless = Harness.offer(1, 1);
    Hopeless.m_Job.m_Steps[0].m_Need = Need;
    Harness.feed(Hopeless);
    RunnerHello Busy = Harness.hello(1, 10, Incarnation{1});
    Busy.m_Load.m_Reserved = {100, 64, 11};
    Harness.feed(RunnerConnected{LinkId{1}, Busy});
    Harness.runFor(100ms);
    BOOST_TEST(Harness.messagesTo<StartTask>(1).empty());
    Hopeless.m_Caller = CallerId{77};
    Hopeless.m_Job.m_Id = JobId{2};
    Harness.feed(Hopeless);
    BOOST_REQUIRE(!Harness.answers().empty());
    BOOST_TEST((Harness.answers().back().m_Outcome == JobOutcome::NotRun));
  }
}

// Guards against an agent that can't tell whether a start was placed on its
// present endpoint, and against avoiding an agent whose endpoint is a new one.
BOOST_AUTO_TEST_CASE(AStartNamesTheEndpointThatTheAgentReportedLast) {
  RunnerHello Hello = hello(1, 10, Incarnation{1});
  Hello.m_Endpoint.m_Generation = EndpointGeneration{3};
  feed(RunnerConnected{LinkId{1}, Hello});
  feed(offer(1, 1));
  BOOST_REQUIRE(messagesTo<StartTask>(1).size() == 1U);
  BOOST_TEST(
      (messagesTo<StartTask>(1)[0].m_Generation == EndpointGeneration{3}));
  EndpointReport Replaced{Hello.m_Endpoint, {}};
  Replaced.m_Endpoint.m_Generation = EndpointGeneration{4};
  feed(MessageReceived{LinkId{1}, Replaced});
  clearCommands();
  endRun(1, runsAt(1)[0], RunEnd::NotStarted, StartRefusal::OtherEndpoint);
  BOOST_REQUIRE(messagesTo<StartTask>(1).size() == 1U);
  BOOST_TEST(
      (messagesTo<StartTask>(1)[0].m_Generation == EndpointGeneration{4}));
}

// Guards against starts at an agent that does not answer: it gets no more
// starts after 150 ms.
BOOST_AUTO_TEST_CASE(AnAgentThatTakesNoStartsIsSuspected) {
  connectAgent(1);
  connectAgent(2);
  feed(offer(1, 2));
  BOOST_REQUIRE(runsAt(1).size() == 1);
  reportLoad(2);
  runFor(150ms);
  reportLoad(2);
  feed(offer(2, 4));
  BOOST_TEST(runsAt(1).size() == 1U);
  BOOST_TEST(runsAt(2).size() == 5U);
}

// Guards against work that is started again elsewhere, or given up, because its
// agent was only silent for a while.
BOOST_AUTO_TEST_CASE(RunsOfAnAgentThatWasOnlySilentAreKept) {
  for (const Duration Silence : {500ms, 1000ms, 1700ms}) {
    JobHarness Harness;
    Harness.connectAgent(1);
    Harness.connectAgent(2);
    Harness.feed(Harness.offer(1, 8, 4s));
    BOOST_REQUIRE(!Harness.runsAt(1).empty());
    for (Duration Passed{}; Passed < Silence; Passed += 50ms) {
      Harness.runFor(50ms);
      Harness.reportLoad(2);
    }
    // A link that was closed for its silence is opened again; the agent still
    // holds the runs.
    if (!Harness.commands<CloseLink>().empty()) {
      RunnerHello Hello = Harness.hello(1, 10, Incarnation{1});
      Hello.m_Entry = Incarnation{70};
      Hello.m_Held = Harness.runsAt(1);
      Harness.feed(RunnerConnected{LinkId{1}, Hello});
    }
    // Past the time at which all leases would have expired.
    for (Duration Passed{}; Passed < 2s; Passed += 50ms) {
      Harness.reportLoad(1);
      Harness.reportLoad(2);
      Harness.runFor(50ms);
    }
    BOOST_TEST(Harness.allRuns().size() == 8U);
    BOOST_TEST(Harness.answers().empty());
    Harness.endAll();
    BOOST_REQUIRE(Harness.answers().size() == 1U);
    BOOST_TEST((Harness.answers()[0].m_Outcome == JobOutcome::Completed));
  }
}

// Guards against an idle agent that is suspected at its first run.
BOOST_AUTO_TEST_CASE(AnAgentIsNotSuspectedForHavingBeenIdle) {
  connectAgent(1);
  advance(1900ms);
  feed(offer(1, 1));
  feed(Tick{});
  BOOST_TEST(core().status().m_ActiveEndpoints == 1U);
}

// Guards against load reports that overload an entry when the fleet grows.
BOOST_AUTO_TEST_CASE(TheReportIntervalGrowsWithTheNumberOfAgents) {
  const auto LastInterval = [this](std::uint64_t Agents) {
    for (std::uint64_t Agent = 1; Agent <= Agents; ++Agent)
      connectAgent(Agent);
    clearCommands();
    feed(MessageReceived{LinkId{1}, Ping{1}});
    return messagesTo<EntryLease>(1).at(0).m_ReportInterval;
  };
  // At most 1,000 reports a second in all, and fresh ones in a small fleet.
  BOOST_TEST((LastInterval(10) <= 20ms));
  BOOST_TEST((LastInterval(200) >= 200ms));
}

// Guards against an endpoint that attracts tasks because it fails every run and
// so is always free.
BOOST_AUTO_TEST_CASE(AnEndpointThatFailsItsRunsIsEjected) {
  for (std::uint64_t Agent = 1; Agent <= 4; ++Agent)
    connectAgent(Agent, 100);
  m_Policy.m_MaxAttempts = 9;
  for (std::uint64_t Job = 1; Job <= 40; ++Job) {
    feed(offer(Job, 4));
    for (const RunName &Run : runsAt(1))
      endRun(1, Run, RunEnd::Failed);
    for (std::uint64_t Agent = 2; Agent <= 4; ++Agent)
      for (const RunName &Run : runsAt(Agent))
        endRun(Agent, Run);
  }
  clearCommands();
  feed(offer(100, 20));
  BOOST_TEST(messagesTo<StartTask>(1).size() <= 1U);
}

// Guards against tasks on an endpoint that has become slow.
BOOST_AUTO_TEST_CASE(ASlowEndpointGetsNoShortTasks) {
  connectAgent(1, 100);
  connectAgent(2, 100);
  connectAgent(3, 100);
  for (std::uint64_t Job = 1; Job <= 20; ++Job) {
    feed(offer(Job, 6, 100ms));
    advance(100ms);
    for (std::uint64_t Agent = 2; Agent <= 3; ++Agent)
      for (const RunName &Run : runsAt(Agent))
        endRun(Agent, Run);
    advance(300ms);
    for (const RunName &Run : runsAt(1))
      endRun(1, Run);
    for (std::uint64_t Agent = 1; Agent <= 3; ++Agent)
      reportLoad(Agent);
  }
  clearCommands();
  // A recent sample, so that it is too early for a probe run.
  reportQuality(1, {400, 0, 100ms});
  feed(offer(100, 6, 100ms));
  BOOST_TEST(messagesTo<StartTask>(1).empty());
}

// Guards against an endpoint that is ejected permanently: after a while, one
// probe run shows that it has recovered.
BOOST_AUTO_TEST_CASE(ASlowEndpointIsProbedAndReadmitted) {
  for (std::uint64_t Agent = 1; Agent <= 3; ++Agent)
    connectAgent(Agent, 100);
  // The sample stems from runs of other entries; this entry has had none there.
  reportQuality(1, {800, 0, 0ms});
  reportQuality(2, {100, 0, 0ms});
  reportQuality(3, {100, 0, 0ms});
  runFor(100ms);
  std::uint64_t Job = 0;
  feed(offer(++Job, 120));
  BOOST_TEST(runsAt(1).empty());
  advance(100ms);
  endAll();
  runFor(1600ms);
  for (std::uint64_t Agent = 1; Agent <= 3; ++Agent)
    reportQuality(Agent, {Agent == 1 ? 800U : 100U, 0, 1600ms});
  feed(offer(++Job, 120));
  BOOST_TEST_REQUIRE(runsAt(1).size() == 1U);
  reportQuality(1, {100, 0, 0ms});
  feed(offer(++Job, 120));
  BOOST_TEST(runsAt(1).size() > 5U);
}

// Guards against a failing endpoint that each entry has to detect by itself.
BOOST_AUTO_TEST_CASE(AnEndpointThatFailsForOthersGetsNoTasks) {
  for (std::uint64_t Agent = 1; Agent <= 3; ++Agent)
    connectAgent(Agent, 100);
  reportQuality(1, {100, 46, 0ms});
  reportQuality(2, {100, 2, 0ms});
  reportQuality(3, {100, 0, 0ms});
  runFor(100ms);
  feed(offer(1, 20));
  BOOST_TEST(runsAt(1).empty());
}

// Guards against faulty jobs that lead to the ejection of every endpoint.
BOOST_AUTO_TEST_CASE(FailuresEverywhereEjectNoEndpoint) {
  for (std::uint64_t Agent = 1; Agent <= 3; ++Agent) {
    connectAgent(Agent, 100);
    reportQuality(Agent, {100, 50, 0ms});
  }
  runFor(100ms);
  feed(offer(1, 30));
  BOOST_TEST(allRuns().size() == 30U);
}

// Guards against entries that see the same loads and all choose the least
// loaded endpoint: all but one would be refused there.
BOOST_AUTO_TEST_CASE(ChoicesOfDifferentEntriesSpreadOverNearlyEqualEndpoints) {
  std::set<RunnerIndex> Chosen;
  std::vector<RunnerRow> Rows(20);
  for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
    Rows[Index].m_Link = LinkId{Index + 1};
    Rows[Index].m_Endpoint.m_State = EndpointState::Active;
    Rows[Index].m_Endpoint.m_Service = "desk";
    Rows[Index].m_Endpoint.m_Capacity = {16000, 1000, 0};
    const auto MilliCores = static_cast<std::uint32_t>(8000 + 10 * Index);
    Rows[Index].m_Load.m_Reserved = {MilliCores, 0, 0};
  }
  StepDeclaration Step;
  Step.m_Need = {1000, 1, 0};
  PlacementQuery Query;
  Query.m_Service = "desk";
  Query.m_Step = &Step;
  for (std::uint64_t Entry = 1; Entry <= 10; ++Entry)
    Chosen.insert(*Placement(Entry).choose(Rows, Query, now()));
  BOOST_TEST(Chosen.size() >= 5U);
}

// Guards against slow types of workers that count as disturbed, and against a
// disturbed endpoint that hides among slow ones.
BOOST_AUTO_TEST_CASE(EndpointsAreComparedWithThoseOfTheirWorkerType) {
  std::vector<RunnerRow> Rows(16);
  for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
    Rows[Index].m_Link = LinkId{Index + 1};
    Rows[Index].m_Endpoint.m_State = EndpointState::Active;
    Rows[Index].m_Endpoint.m_WorkerType = Index < 6 ? "slow" : "fast";
    Rows[Index].m_Load.m_Quality.m_RunTimePercent = Index < 6 ? 190 : 75;
  }
  // One of a type with too few endpoints to compare.
  Rows[15].m_Endpoint.m_WorkerType = "rare";
  Rows[15].m_Load.m_Quality.m_RunTimePercent = 190;
  Placement Compared(1);
  Compared.updateMedians(Rows);
  BOOST_TEST((Compared.assess(Rows[0]) == EndpointHealth::Healthy));
  BOOST_TEST((Compared.assess(Rows[15]) == EndpointHealth::Slow));
  Rows[0].m_Load.m_Quality.m_RunTimePercent = 400;
  Rows[6].m_Load.m_Quality.m_RunTimePercent = 160;
  BOOST_TEST((Compared.assess(Rows[0]) == EndpointHealth::Slow));
  BOOST_TEST((Compared.assess(Rows[6]) == EndpointHealth::Slow));
}

// Guards against runs that stall at an endpoint until the caller stops waiting:
// they are stopped and their tasks run elsewhere.
BOOST_AUTO_TEST_CASE(AStalledRunIsStoppedAndItsTaskRunsElsewhere) {
  connectAgent(1);
  connectAgent(2);
  feed(offer(1, 1, 100ms));
  const std::uint64_t Stuck = runsAt(1).empty() ? 2 : 1;
  for (int Round = 0; Round < 12; ++Round) {
    runFor(50ms);
    reportLoad(1);
    reportLoad(2);
  }
  BOOST_REQUIRE(messagesTo<StopRun>(Stuck).size() == 1);
  endRun(Stuck, runsAt(Stuck)[0], RunEnd::Stopped);
  BOOST_TEST(runsAt(3 - Stuck).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
