// Tests the states of a run at the agent: a task must not run twice at the same
// time, and capacity must not be assigned twice.
#include "ConnectedRunner.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : ConnectedRunner {
  /// Leaves the start call and its repetitions without an answer.
  void leaveStartUnanswered(const RunName &Run) {
    while (commands<CallStop>().empty())
      feed(StartAnswered{Run, CallFault::NoAnswer, StartResult::Started, {}});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerRuns, Fixture)

// Guards against a run that outlives its lease because the agent's clock is
// ahead: the lease in the start call is relative to the endpoint's own clock.
BOOST_AUTO_TEST_CASE(AStartCarriesALeaseInTheEndpointsClock) {
  startTask(runNamed(0));
  const auto Calls = commands<CallStart>();
  BOOST_REQUIRE(Calls.size() == 1);
  BOOST_TEST(Calls[0].m_LeaseEnd >= 51000);
  BOOST_TEST(Calls[0].m_LeaseEnd <= 51005);
  BOOST_TEST(Calls[0].m_Call.m_FencingToken == 100U);
}

// Guards against overloading a worker that does not enforce its own capacity,
// and against a run that waits at a busy agent while others have free capacity.
BOOST_AUTO_TEST_CASE(ARunWithoutCapacityWaitsAndIsThenRefused) {
  startAndAnswer(runNamed(0), 6);
  startTask(runNamed(1), 5);
  BOOST_TEST(messages<TaskEnded>().empty());
  advance(100ms);
  feed(Tick{});
  BOOST_TEST(commands<CallStart>().size() == 1U);
  const TaskEnded End = onlyEnd();
  BOOST_TEST((End.m_End == RunEnd::NotStarted));
  BOOST_TEST((End.m_Refusal == StartRefusal::NoCapacity));
}

// Guards against assigning capacity that a stopped run still uses.
BOOST_AUTO_TEST_CASE(AStoppedRunKeepsItsCapacityUntilItsEndIsListed) {
  startAndAnswer(runNamed(0), 6);
  feed(MessageReceived{Link, StopJob{JobId{0xabc}}});
  feed(StopAnswered{runNamed(0), CallFault::None, false, 50000});
  clearCommands();
  startTask({{JobId{0xdef}, 0, 0}, 1}, 6);
  BOOST_TEST(commands<CallStart>().empty());
  answerHold({}, {{1, runNamed(0), RunEnd::Stopped}});
  BOOST_TEST(commands<CallStart>().size() == 1U);
}

// Guards against a queue at an agent that exceeds the capacity that soon
// becomes free.
BOOST_AUTO_TEST_CASE(TheQueueHoldsAtMostAThirdOfTheCapacity) {
  startAndAnswer(runNamed(0), 10);
  startTask(runNamed(1), 3);
  BOOST_TEST(messages<TaskEnded>().empty());
  startTask(runNamed(2), 1);
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::NoCapacity));
}

// Guards against a job that misses its deadline because a less urgent job of
// another entry arrived earlier.
BOOST_AUTO_TEST_CASE(TheMostUrgentWaitingRunStartsFirst) {
  startAndAnswer(runNamed(0), 10);
  const auto Send = [this](std::uint32_t Index, Duration StartWithin) {
    feed(MessageReceived{Link, StartTask{runNamed(Index),
                                         generation(),
                                         {wholeCores(1), 1, 0},
                                         now(),
                                         StartWithin,
                                         {},
                                         nullptr}});
  };
  Send(1, 500ms);
  Send(2, Duration(-1));
  Send(3, 50ms);
  clearCommands();
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  const auto Calls = commands<CallStart>();
  BOOST_REQUIRE(Calls.size() == 3);
  BOOST_TEST((Calls[0].m_Run == runNamed(3)));
  BOOST_TEST((Calls[1].m_Run == runNamed(1)));
  BOOST_TEST((Calls[2].m_Run == runNamed(2)));
}

// Guards against starting a waiting run after its job was cancelled or its
// entry was lost.
BOOST_AUTO_TEST_CASE(ACancelledWaitingRunNeverStarts) {
  startAndAnswer(runNamed(0), 10);
  startTask({{JobId{0xdef}, 0, 0}, 1}, 1);
  feed(MessageReceived{Link, StopJob{JobId{0xdef}}});
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Cancelled));
  clearCommands();
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  BOOST_TEST(commands<CallStart>().empty());
}

// Guards against a second run of a task while the first start call, which was
// not answered, may still take effect.
BOOST_AUTO_TEST_CASE(AnUnansweredStartIsReportedOnlyAfterItsStopWasAnswered) {
  startTask(runNamed(0));
  leaveStartUnanswered(runNamed(0));
  BOOST_TEST(commands<CallStop>().size() == 1U);
  BOOST_TEST(messages<TaskEnded>().empty());
  feed(StopAnswered{runNamed(0), CallFault::NoAnswer, false, {}});
  BOOST_TEST(messages<TaskEnded>().empty());
  runFor(60ms);
  BOOST_TEST(commands<CallStop>().size() == 2U);
  feed(StopAnswered{runNamed(0), CallFault::None, false, 50000});
  // The hold call that was in flight when the stop was answered does not count.
  answerHold({});
  BOOST_TEST(messages<TaskEnded>().empty());
  answerHold({});
  BOOST_TEST((onlyEnd().m_End == RunEnd::NotStarted));
}

// Guards against reporting a run as not started, so that its task runs again,
// when the endpoint executed the call, the connection was reset before the
// answer, and the run had ended when the call was sent again.
BOOST_AUTO_TEST_CASE(ARejectionOfACallThatWasSentTwiceIsNoProof) {
  for (const StartResult Result :
       {StartResult::Superseded, StartResult::NoCapacity, StartResult::Late}) {
    const RunName Run = runNamed(static_cast<std::uint32_t>(Result));
    startTask(Run);
    feed(StartAnswered{Run, CallFault::None, Result, 50000, true});
    BOOST_TEST(messages<TaskEnded>().empty());
    BOOST_REQUIRE(!commands<CallStop>().empty());
    BOOST_TEST((commands<CallStop>().back().m_Run == Run));
    feed(StopAnswered{Run, CallFault::None, false, 50000});
    answerHold({});
    answerHold({}, {{1 + std::uint64_t(Result), Run, RunEnd::Done}});
    BOOST_TEST((onlyEnd().m_End == RunEnd::Done));
    clearCommands();
  }
}

// Guards against seconds in which an endpoint that loses answers does hardly
// any work: each lost answer cost a stop, a look at the lists and a new choice.
BOOST_AUTO_TEST_CASE(AnUnansweredStartIsRepeatedAtTheSameEndpoint) {
  startTask(runNamed(0));
  feed(StartAnswered{
      runNamed(0), CallFault::NoAnswer, StartResult::Started, {}});
  BOOST_TEST(commands<CallStop>().empty());
  const auto Starts = commands<CallStart>();
  BOOST_REQUIRE(Starts.size() == 2);
  BOOST_TEST((Starts[1].m_Run == runNamed(0)));
  answerStart(runNamed(0));
  answerHold({runNamed(0)});
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  BOOST_TEST((onlyEnd().m_End == RunEnd::Done));
}

// Guards against reporting a run as not started when an unanswered call has
// started it and the repeated one is rejected, and against repeating the start
// of a run that was stopped meanwhile.
BOOST_AUTO_TEST_CASE(ARejectionAfterAnUnansweredStartIsNoProof) {
  for (const StartResult Result :
       {StartResult::Superseded, StartResult::NoCapacity}) {
    const RunName Run = runNamed(static_cast<std::uint32_t>(Result));
    startTask(Run);
    feed(StartAnswered{Run, CallFault::NoAnswer, StartResult::Started, {}});
    answerStart(Run, Result);
    BOOST_TEST(messages<TaskEnded>().empty());
    BOOST_TEST(commands<CallStop>().size() == 1U);
    feed(StopAnswered{Run, CallFault::None, false, 50000});
    answerHold({});
    answerHold({}, {{1 + std::uint64_t(Result), Run, RunEnd::Done}});
    BOOST_TEST((onlyEnd().m_End == RunEnd::Done));
    clearCommands();
  }
  const RunName Stopped = runNamed(9);
  startTask(Stopped);
  feed(MessageReceived{Link, StopRun{Stopped}});
  clearCommands();
  feed(StartAnswered{Stopped, CallFault::NoAnswer, StartResult::Started, {}});
  BOOST_TEST(commands<CallStart>().empty());
}

// Guards against stopping, and counting as doubtful, a run whose start call
// never left the host.
BOOST_AUTO_TEST_CASE(AStartThatWasNotSentEndsAtOnce) {
  startTask(runNamed(0));
  feed(
      StartAnswered{runNamed(0), CallFault::NotSent, StartResult::Started, {}});
  BOOST_TEST((onlyEnd().m_End == RunEnd::NotStarted));
  BOOST_TEST(commands<CallStop>().empty());
}

// Guards against hundreds of connections per second to an endpoint that resets
// each one.
BOOST_AUTO_TEST_CASE(AnUnansweredStopIsRepeatedWithBackoff) {
  startTask(runNamed(0));
  leaveStartUnanswered(runNamed(0));
  std::size_t Answered = 0;
  for (const TimePoint End = now() + 1s; now() < End; advance(1ms)) {
    feed(Tick{});
    for (; Answered < commands<CallStop>().size(); ++Answered)
      feed(StopAnswered{runNamed(0), CallFault::NoAnswer, false, {}});
  }
  BOOST_TEST(commands<CallStop>().size() <= 9U);
  BOOST_TEST(commands<CallStop>().size() >= 7U);
}

// Guards against sending tasks to an endpoint that appears idle because it
// answers no calls.
BOOST_AUTO_TEST_CASE(UnansweredStartsCountAsFailures) {
  for (std::uint32_t Index = 0; Index < 4; ++Index) {
    startTask(runNamed(Index));
    feed(StartAnswered{
        runNamed(Index), CallFault::NoAnswer, StartResult::Started, {}});
  }
  clearCommands();
  sendLease();
  const auto Reports = messages<LoadReport>();
  BOOST_REQUIRE(!Reports.empty());
  BOOST_TEST(Reports.back().m_Load.m_Quality.m_FailedPercent == 100U);
}

// Guards against stopping a run whose start call was not answered although the
// endpoint lists the run.
BOOST_AUTO_TEST_CASE(AListedRunNeedsNoAnswerToItsStart) {
  startTask(runNamed(0));
  answerHold({runNamed(0)});
  feed(StartAnswered{
      runNamed(0), CallFault::NoAnswer, StartResult::Started, {}});
  BOOST_TEST(commands<CallStop>().empty());
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  BOOST_TEST((onlyEnd().m_End == RunEnd::Done));
}

// Guards against ended runs that the endpoint lists repeatedly.
BOOST_AUTO_TEST_CASE(ListedEndsAreAcknowledgedByTheNextHold) {
  startAndAnswer(runNamed(0));
  clearCommands();
  answerHold({}, {{4, runNamed(0), RunEnd::Done}});
  const auto Holds = commands<CallHold>();
  BOOST_REQUIRE(Holds.size() == 1);
  BOOST_TEST(Holds[0].m_AcknowledgedEnds == 4U);
  BOOST_TEST(!Holds[0].m_LeaseEnd.has_value());
}

// Guards against two runs of one task at an agent when a caller's second entry
// starts a task that is still running for the first one.
BOOST_AUTO_TEST_CASE(ATaskThatIsRunningIsNotStartedAgain) {
  startAndAnswer(runNamed(0));
  startTask(runNamed(0, 2));
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Superseded));
}

// Guards against an agent that exits while its runs are active.
BOOST_AUTO_TEST_CASE(ShutdownWaitsForRunsAndRefusesNewOnes) {
  startAndAnswer(runNamed(0));
  feed(ShutdownRequested{});
  BOOST_TEST(commands<Drained>().empty());
  startTask(runNamed(1));
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Draining));
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  BOOST_TEST(commands<Drained>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
