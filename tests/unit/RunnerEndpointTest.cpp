// Lives of the endpoint: what a crash, a restart and silence mean for runs.
#include "RunnerHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(RunnerEndpoints, RunnerHarness)

// Guards against starts beside runs of an earlier agent process, whose tasks an
// entry may have given to another agent.
BOOST_AUTO_TEST_CASE(AnEndpointWithForeignRunsIsClearing) {
  feed(heartbeat(1000, 1));
  HoldAnswered Answer;
  Answer.m_Call = 1;
  Answer.m_BornAtMs = 1000;
  Answer.m_Running = {runNamed(0)};
  feed(Answer);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Clearing));
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against waiting for leases when the endpoint has surely crashed.
BOOST_AUTO_TEST_CASE(ARefusedConnectionLosesAllRunsAtOnce) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  failHold(CallFault::Refused);
  const auto Ends = messages<TaskEnded>();
  BOOST_REQUIRE(Ends.size() == 1);
  BOOST_TEST((Ends[0].m_End == RunEnd::Lost));
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Absent));
}

// Guards against a task that is run again while a silent endpoint still runs
// it: its runs count as over when the last lease has lapsed by a slow clock.
BOOST_AUTO_TEST_CASE(RunsOfASilentEndpointAreLostWhenTheirLeasesHaveLapsed) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  // The endpoint's clock showed 50,000 ms at this time.
  const TimePoint Reading = now();
  silence();
  const TimePoint Silent = now();
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Absent));
  while (messages<TaskEnded>().empty()) {
    BOOST_REQUIRE(now() < Silent + 3s);
    advance(10ms);
    lease();
    feed(Tick{});
  }
  for (const CallHold &Each : commands<CallHold>())
    if (Each.m_LeaseEnd) {
      const auto Lease = std::chrono::milliseconds(*Each.m_LeaseEnd - 50000);
      // The endpoint's clock may be 2% slow.
      BOOST_TEST((now() >= Reading + Lease * 102 / 100));
    }
  BOOST_TEST((messages<TaskEnded>()[0].m_End == RunEnd::Lost));
}

// Guards against ends of short tasks that one lost answer hides until their job
// is late: a task of 60 ms in a queue with a stretch of 1.6 and 60 ms more has
// 96 ms to spare.
BOOST_AUTO_TEST_CASE(ALostHoldIsNoticedWithinTheSlackOfShortTasks) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  answerHold({runNamed(0)});
  const auto Holds = commands<CallHold>();
  BOOST_REQUIRE(!Holds.empty());
  BOOST_TEST((Holds.back().m_Wait > Duration{}));
  BOOST_TEST((Holds.back().m_Timeout < 96ms));
}

// Guards against an endpoint that is taken out of use, with all its room, for
// one lost answer, and against a pause in which ends of runs go unnoticed.
BOOST_AUTO_TEST_CASE(OneUnansweredHoldIsRepeatedAtOnce) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  advance(100ms);
  take();
  failHold(CallFault::NoAnswer);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
  BOOST_TEST(commands<CallHold>().size() == 1U);
}

// Guards against leases that are extended at an endpoint whose runs must lapse.
BOOST_AUTO_TEST_CASE(ASilentEndpointGetsNoLongerLease) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  silence();
  take();
  pass(60ms);
  const auto Holds = commands<CallHold>();
  BOOST_REQUIRE(!Holds.empty());
  BOOST_TEST(!Holds.back().m_LeaseEnd.has_value());
}

// Guards against a restarted endpoint that is taken for the one before.
BOOST_AUTO_TEST_CASE(ANewLifeLosesTheRunsOfTheOneBefore) {
  bringUp(1000);
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  feed(heartbeat(2000, 1));
  BOOST_TEST(messages<TaskEnded>().size() == 1U);
}

// Guards against a heartbeat that a partition delayed until its sender was
// dead.
BOOST_AUTO_TEST_CASE(ADelayedHeartbeatOfAnEarlierLifeIsIgnored) {
  bringUp(2000);
  feed(heartbeat(1000, 99));
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
  feed(heartbeat(2000, 1, EndpointState::Leaving));
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
}

// Guards against an endpoint that stays out of use after one refused
// connection although it goes on with its heartbeats.
BOOST_AUTO_TEST_CASE(TheSameLifeComesBackWithItsNextHeartbeat) {
  bringUp(1000);
  openLink();
  startTask(runNamed(0));
  failHold(CallFault::Refused);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Absent));
  feed(heartbeat(1000, 2));
  answerHold({});
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
}

// Guards against new work at an endpoint that leaves.
BOOST_AUTO_TEST_CASE(ALeavingEndpointTakesNoRuns) {
  bringUp();
  openLink();
  feed(heartbeat(1000, 2, EndpointState::Leaving));
  take();
  startTask(runNamed(0));
  const auto Ends = messages<TaskEnded>();
  BOOST_REQUIRE(Ends.size() == 1);
  BOOST_TEST((Ends[0].m_Refusal == StartRefusal::Leaving));
}

// Guards against an order that was held up until the endpoint had restarted: no
// entry knows of that run.
BOOST_AUTO_TEST_CASE(AListedRunThatNobodyStartedIsStopped) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  take();
  answerHold({runNamed(0), runNamed(9)});
  const auto Stops = commands<CallStop>();
  BOOST_REQUIRE(Stops.size() == 1);
  BOOST_TEST((Stops[0].m_Run == runNamed(9)));
}

// Guards against an agent that is locked out because its host's clock went back
// between two of its processes.
BOOST_AUTO_TEST_CASE(AFencedAgentRaisesItsToken) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0), StartVerdict::Fenced);
  const auto Calls = commands<CallStart>();
  BOOST_REQUIRE(Calls.size() == 2);
  BOOST_TEST(Calls[1].m_Call.m_FencingToken > Calls[0].m_Call.m_FencingToken);
}

// Guards against hundreds of connections in the time until an endpoint that
// resets each one counts as silent.
BOOST_AUTO_TEST_CASE(HoldsOnResetConnectionsAreRepeatedAfterAPause) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  take();
  std::size_t Failed = 0;
  failHold(CallFault::NoAnswer);
  for (const TimePoint End = now() + 400ms; now() < End; advance(1ms)) {
    feed(Tick{});
    for (; Failed < commands<CallHold>().size(); ++Failed)
      failHold(CallFault::NoAnswer);
  }
  BOOST_TEST(Failed <= 11U);
  BOOST_TEST(Failed >= 8U);
}

BOOST_AUTO_TEST_SUITE_END()
