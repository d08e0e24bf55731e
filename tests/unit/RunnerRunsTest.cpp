// Tests the states of a run at the agent: a task must not run twice at the same
// time, and capacity must not be assigned twice.
#include "RunnerHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : RunnerHarness {
  Fixture() {
    bringUp();
    openLink();
    clearCommands();
  }

  void startAndAnswer(const RunName &Run, std::uint32_t Cores = 1) {
    startTask(Run, Cores);
    answerStart(Run);
  }

  /// Leaves the start call and its repetitions without an answer.
  void leaveStartUnanswered(const RunName &Run) {
    while (commands<CallStop>().empty())
      feed(StartAnswered{Run, CallFault::NoAnswer, StartResult::Started, {}});
  }

  TaskEnded onlyEnd() const {
    const auto Ends = messages<TaskEnded>();
    BOOST_REQUIRE(Ends.size() == 1);
    return Ends.front();
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

// Guards against runs that continue for an entry that has lost their callers.
BOOST_AUTO_TEST_CASE(RunsAreStoppedWhenTheLeaseOfTheirEntryExpires) {
  startAndAnswer(runNamed(0));
  feed(LinkClosed{Link});
  clearCommands();
  runFor(590ms);
  BOOST_TEST(commands<CallStop>().empty());
  runFor(20ms);
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against stopping the runs of an entry that extends its lease in time.
BOOST_AUTO_TEST_CASE(LeasesOfTheEntryKeepItsRuns) {
  startAndAnswer(runNamed(0));
  for (int Round = 0; Round < 10; ++Round) {
    advance(200ms);
    sendLease();
  }
  BOOST_TEST(commands<CallStop>().empty());
}

// Guards against extending a lease by a message that was buffered while the
// host was suspended.
BOOST_AUTO_TEST_CASE(ADelayedLeaseMessageExtendsNothing) {
  startAndAnswer(runNamed(0));
  const TimePoint SentAt = now() + 100ms;
  advance(5s);
  clearCommands();
  feed(MessageReceived{Link, EntryLease{SentAt}});
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against starting a task after its entry has assigned it to another
// agent.
BOOST_AUTO_TEST_CASE(ADelayedStartIsRefused) {
  const TimePoint SentAt = now();
  advance(1s);
  feed(MessageReceived{
      Link, StartTask{runNamed(0), {1000, 1, 0}, SentAt, {}, {}, nullptr}});
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Late));
}

// Guards against a second run of a task: a partition held up the first messages
// of a new link until the entry had started the task elsewhere. Measured
// against each other, these messages are not late.
BOOST_AUTO_TEST_CASE(AStartBehindADelayedHelloIsRefused) {
  feed(LinkClosed{Link});
  feed(RunnerLinkOpened{LinkId{8}, "127.0.0.1:80"});
  const TimePoint SentAt = now();
  advance(2s);
  clearCommands();
  EntryHello Hello;
  Hello.m_Incarnation = Entry;
  Hello.m_SentAt = SentAt;
  feed(MessageReceived{LinkId{8}, Hello});
  feed(MessageReceived{
      LinkId{8},
      StartTask{runNamed(0), {1000, 1, 0}, SentAt + 50ms, {}, {}, nullptr}});
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Late));
  // A quick answer to a ping makes the link usable.
  const auto Pings = messages<Ping>();
  BOOST_REQUIRE(Pings.size() == 1);
  clearCommands();
  advance(5ms);
  feed(MessageReceived{LinkId{8}, Pong{Pings[0].m_Number}});
  sendLease(LinkId{8});
  feed(MessageReceived{
      LinkId{8},
      StartTask{runNamed(0, 2), {1000, 1, 0}, now(), {}, {}, nullptr}});
  BOOST_TEST(commands<CallStart>().size() == 1U);
}

// Guards against two runs of one task at an agent when a caller's second entry
// starts a task that is still running for the first one.
BOOST_AUTO_TEST_CASE(ATaskThatIsRunningIsNotStartedAgain) {
  startAndAnswer(runNamed(0));
  startTask(runNamed(0, 2));
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Superseded));
}

// Guards against runs of an earlier entry process whose results no caller
// awaits.
BOOST_AUTO_TEST_CASE(ARestartedEntryStopsTheRunsOfItsEarlierProcess) {
  startAndAnswer(runNamed(0));
  feed(LinkClosed{Link});
  openLink(LinkId{8}, Incarnation{71});
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against a fleet in which every agent reports each change of its load
// to every entry, so that the reports take most of an entry's processor time.
BOOST_AUTO_TEST_CASE(LoadReportsKeepTheIntervalThatTheEntrySets) {
  constexpr LinkId Other{8};
  feed(RunnerLinkOpened{Other, "127.0.0.2:80"});
  EntryHello Hello;
  Hello.m_Incarnation = Incarnation{71};
  Hello.m_SentAt = now();
  feed(MessageReceived{Other, Hello});
  feed(MessageReceived{Other, EntryLease{now(), 100ms}});
  clearCommands();
  for (std::uint32_t Index = 0; Index < 200; ++Index) {
    startTask(runNamed(Index));
    answerStart(runNamed(Index));
    runFor(4ms);
    answerHold({}, {{Index + 1, runNamed(Index), RunEnd::Done}});
  }
  std::size_t ToOther = 0;
  for (const SendMessage &Each : commands<SendMessage>())
    ToOther += Each.m_Link == Other ? 1 : 0;
  BOOST_TEST(ToOther >= 9U);
  BOOST_TEST(ToOther <= 11U);
}

// Guards against an entry that suspects a healthy agent: it has sent a start
// and is not told of it, because it asked for few reports.
BOOST_AUTO_TEST_CASE(AStartIsConfirmedSoonWhateverTheReportInterval) {
  feed(MessageReceived{Link, EntryLease{now(), 400ms}});
  clearCommands();
  startTask(runNamed(0));
  runFor(20ms);
  BOOST_TEST(messages<LoadReport>().size() == 1U);
}

// Guards against abandoning a run although only its connection was lost.
BOOST_AUTO_TEST_CASE(TheHelloOnANewLinkListsHeldAndEndedRuns) {
  startAndAnswer(runNamed(0));
  startAndAnswer(runNamed(1));
  feed(LinkClosed{Link});
  answerHold({runNamed(1)}, {{1, runNamed(0), RunEnd::Done}});
  clearCommands();
  feed(RunnerLinkOpened{LinkId{8}, "127.0.0.1:80"});
  const auto Hellos = messages<RunnerHello>();
  BOOST_REQUIRE(Hellos.size() == 1);
  BOOST_TEST((Hellos[0].m_Held == std::vector<RunName>{runNamed(1)}));
  BOOST_REQUIRE(Hellos[0].m_Ended.size() == 1);
  BOOST_TEST((Hellos[0].m_Ended[0].m_Run == runNamed(0)));
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
