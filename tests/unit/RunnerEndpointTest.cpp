// Tests how a crash, a restart and missing answers of the endpoint affect runs.
#include "RunnerHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(RunnerEndpoints, RunnerHarness)

// Guards against starting runs while those of an earlier agent process are
// still active, whose tasks an entry may have assigned to another agent.
BOOST_AUTO_TEST_CASE(AnEndpointWithForeignRunsIsClearing) {
  feed(heartbeat(1000, 1));
  HoldAnswered Answer;
  Answer.m_Call = 1;
  Answer.m_StartedAtMs = 1000;
  Answer.m_Running = {runNamed(0)};
  feed(Answer);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Clearing));
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against runs of an earlier agent process that outlive the time after
// which their entry counts them as lost: stops may stay without effect for
// seconds, so the leases must not be extended meanwhile.
BOOST_AUTO_TEST_CASE(RunsOfAnEarlierAgentProcessGetNoLease) {
  feed(heartbeat(1000, 1));
  for (int Round = 0; Round < 5; ++Round) {
    HoldAnswered Answer;
    Answer.m_Call = commands<CallHold>().back().m_Number;
    Answer.m_StartedAtMs = 1000;
    Answer.m_Clock = 50000;
    Answer.m_Running = {runNamed(0)};
    feed(Answer);
    advance(50ms);
    feed(Tick{});
  }
  for (const CallHold &Each : commands<CallHold>())
    BOOST_TEST(!Each.m_LeaseEnd.has_value());
}

// Guards against waiting for leases to expire when a refused connection shows
// that the endpoint has crashed.
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

// Guards against running a task again while an unresponsive endpoint still runs
// it: its runs end only when the last lease has expired by a slow clock.
BOOST_AUTO_TEST_CASE(
    RunsOfAnUnresponsiveEndpointAreLostWhenTheirLeasesHaveExpired) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  // The endpoint's clock read 50,000 ms at this time.
  const TimePoint Reading = now();
  letHoldsTimeOut();
  const TimePoint Silent = now();
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Absent));
  while (messages<TaskEnded>().empty()) {
    BOOST_REQUIRE(now() < Silent + 3s);
    advance(10ms);
    sendLease();
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

// Guards against one lost answer that delays the end of a short task until its
// job misses its deadline: a task of 60 ms in a queue with a stretch of 1.6 and
// 60 ms more has 96 ms of slack.
BOOST_AUTO_TEST_CASE(ALostHoldIsDetectedWithinTheSlackOfShortTasks) {
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

// Guards against removing an endpoint with its whole capacity because of one
// lost answer, and against a delay in which ended runs go undetected.
BOOST_AUTO_TEST_CASE(OneUnansweredHoldIsRepeatedAtOnce) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  advance(100ms);
  clearCommands();
  failHold(CallFault::NoAnswer);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
  BOOST_TEST(commands<CallHold>().size() == 1U);
}

// Guards against extending leases at an endpoint whose runs must expire.
BOOST_AUTO_TEST_CASE(AnUnresponsiveEndpointGetsNoLeaseExtension) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  letHoldsTimeOut();
  clearCommands();
  runFor(60ms);
  const auto Holds = commands<CallHold>();
  BOOST_REQUIRE(!Holds.empty());
  BOOST_TEST(!Holds.back().m_LeaseEnd.has_value());
}

// Guards against mistaking a restarted endpoint for the earlier incarnation.
BOOST_AUTO_TEST_CASE(ANewIncarnationLosesTheRunsOfTheEarlierOne) {
  bringUp(1000);
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  feed(heartbeat(2000, 1));
  BOOST_TEST(messages<TaskEnded>().size() == 1U);
}

// Guards against a run at an endpoint that its entry has not chosen and that
// may lack the label, service or rack that the run needs.
BOOST_AUTO_TEST_CASE(AStartPlacedOnTheEarlierEndpointIsRefused) {
  bringUp(1000);
  openLink();
  const EndpointGeneration Earlier = generation();
  bringUp(2000);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
  clearCommands();
  feed(MessageReceived{
      Link,
      StartTask{runNamed(0), Earlier, {1000, 1, 0}, now(), {}, {}, nullptr}});
  BOOST_TEST((onlyEnd().m_End == RunEnd::NotStarted));
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::OtherEndpoint));
  BOOST_TEST(commands<CallStart>().empty());
  startTask(runNamed(0, 2));
  BOOST_TEST(commands<CallStart>().size() == 1U);
}

// Guards against entries that place runs by labels that the endpoint no longer
// has, and against a run that waited for capacity while they changed.
BOOST_AUTO_TEST_CASE(OtherLabelsMakeAnotherGeneration) {
  bringUp(1000);
  openLink();
  startAndAnswer(runNamed(0), 10);
  startTask(runNamed(1));
  clearCommands();
  const EndpointGeneration Earlier = generation();
  EndpointHeartbeat Changed = heartbeat(1000, 2);
  Changed.m_View.m_Labels = {"large"};
  feed(Changed);
  BOOST_TEST((generation() != Earlier));
  BOOST_TEST((onlyEnd().m_Run == runNamed(1)));
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::OtherEndpoint));
  // The report comes first, so that the entry does not place the run here
  // again.
  const auto Sent = commands<SendMessage>();
  BOOST_TEST(std::holds_alternative<EndpointReport>(Sent.front().m_Message));
}

// Guards against refusing starts after each heartbeat.
BOOST_AUTO_TEST_CASE(AHeartbeatOfTheSameEndpointKeepsItsGeneration) {
  bringUp(1000);
  openLink();
  clearCommands();
  const EndpointGeneration Before = generation();
  feed(heartbeat(1000, 2));
  BOOST_TEST(messages<EndpointReport>().empty());
  startTask(runNamed(0));
  BOOST_TEST((generation() == Before));
  BOOST_TEST(commands<CallStart>().size() == 1U);
}

// Guards against a heartbeat that a network partition delayed until its sender
// had ended.
BOOST_AUTO_TEST_CASE(ADelayedHeartbeatOfAnEarlierIncarnationIsIgnored) {
  bringUp(2000);
  feed(heartbeat(1000, 99));
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
  feed(heartbeat(2000, 1, EndpointState::Draining));
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
}

// Guards against an agent that offers an endpoint while another process answers
// at its address, and against waiting for runs that ended with the first one.
BOOST_AUTO_TEST_CASE(ACallThatMeetsAnotherProcessLosesTheEndpoint) {
  for (const bool IsStart : {true, false}) {
    RunnerHarness Harness;
    Harness.bringUp();
    Harness.openLink();
    Harness.startAndAnswer(runNamed(0));
    Harness.startTask(runNamed(1));
    Harness.clearCommands();
    StartAnswered Start;
    Start.m_Run = runNamed(1);
    Start.m_Fault = CallFault::OtherIncarnation;
    StopAnswered Stop;
    Stop.m_Run = runNamed(0);
    Stop.m_Fault = CallFault::OtherIncarnation;
    Harness.feed(IsStart ? RunnerEvent(Start) : RunnerEvent(Stop));
    BOOST_TEST(Harness.messages<TaskEnded>().size() == 2U);
    BOOST_TEST((Harness.core().status().m_Endpoint == EndpointState::Absent));
  }
}

// Guards against an endpoint that stays unused after one refused connection
// although it continues to send heartbeats.
BOOST_AUTO_TEST_CASE(TheSameIncarnationIsUsedAgainAfterItsNextHeartbeat) {
  bringUp(1000);
  openLink();
  startTask(runNamed(0));
  failHold(CallFault::Refused);
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Absent));
  feed(heartbeat(1000, 2));
  answerHold({});
  BOOST_TEST((core().status().m_Endpoint == EndpointState::Active));
}

// Guards against new runs at an endpoint that is shutting down.
BOOST_AUTO_TEST_CASE(ADrainingEndpointTakesNoRuns) {
  bringUp();
  openLink();
  feed(heartbeat(1000, 2, EndpointState::Draining));
  clearCommands();
  startTask(runNamed(0));
  const auto Ends = messages<TaskEnded>();
  BOOST_REQUIRE(Ends.size() == 1);
  BOOST_TEST((Ends[0].m_Refusal == StartRefusal::Draining));
}

// Guards against a start call that was delayed until the endpoint had
// restarted: its run is known to no entry.
BOOST_AUTO_TEST_CASE(AListedRunThatThisAgentDidNotStartIsStopped) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  clearCommands();
  answerHold({runNamed(0), runNamed(9)});
  const auto Stops = commands<CallStop>();
  BOOST_REQUIRE(Stops.size() == 1);
  BOOST_TEST((Stops[0].m_Run == runNamed(9)));
}

// Guards against an agent that stays fenced because its host's clock was set
// back between two agent processes.
BOOST_AUTO_TEST_CASE(AFencedAgentRaisesItsToken) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0), StartResult::Fenced);
  const auto Calls = commands<CallStart>();
  BOOST_REQUIRE(Calls.size() == 2);
  BOOST_TEST(Calls[1].m_Call.m_FencingToken > Calls[0].m_Call.m_FencingToken);
}

// Guards against opening hundreds of connections before an endpoint that resets
// each one counts as unresponsive.
BOOST_AUTO_TEST_CASE(HoldsOnResetConnectionsAreRepeatedAfterAPause) {
  bringUp();
  openLink();
  startTask(runNamed(0));
  answerStart(runNamed(0));
  clearCommands();
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
