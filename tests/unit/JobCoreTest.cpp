// Outcomes of jobs: each caller gets one correct answer, however the runs end.
#include "JobHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : JobHarness {
  JobAnswer onlyAnswer() const {
    BOOST_REQUIRE(answers().size() == 1);
    return answers().front();
  }
  JobOutcome onlyOutcome() const { return onlyAnswer().m_Outcome; }
  /// Advances the clock while agent 1 answers.
  void runWithReports(Duration Time) {
    for (Duration Passed{}; Passed < Time; Passed += 50ms) {
      runFor(50ms);
      reportLoad(1);
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobOutcomes, Fixture)

// Guards against an answer before the last task has ended, and a second one.
BOOST_AUTO_TEST_CASE(AJobIsCompletedOnceWhenAllItsTasksAreDone) {
  connectAgent(1);
  feed(offer(1, 3));
  const auto Runs = runsAt(1);
  BOOST_REQUIRE(Runs.size() == 3);
  endRun(1, Runs[0]);
  endRun(1, Runs[1]);
  BOOST_TEST(answers().empty());
  endRun(1, Runs[2]);
  endRun(1, Runs[2]);
  BOOST_TEST((onlyOutcome() == JobOutcome::Completed));
}

// Guards against a step that starts before the steps that it depends on.
BOOST_AUTO_TEST_CASE(AStepWaitsForTheStepsBeforeIt) {
  connectAgent(1);
  JobOffered Offer = offer(1, 2);
  Offer.m_Job.m_Steps.push_back(Offer.m_Job.m_Steps[0]);
  Offer.m_Job.m_Steps[1].m_Dependencies = {0};
  feed(Offer);
  BOOST_TEST(allRuns().size() == 2U);
  endRun(1, runsAt(1)[0]);
  BOOST_TEST(allRuns().size() == 1U);
  endRun(1, runsAt(1)[0]);
  BOOST_TEST(allRuns().size() == 2U);
  endAll();
  BOOST_TEST((onlyOutcome() == JobOutcome::Completed));
}

// Guards against a job that fails after a single failed run, and against one
// that is retried without end.
BOOST_AUTO_TEST_CASE(AFailedTaskRunsAgainElsewhereUntilItsAttemptsAreUsed) {
  connectAgent(1);
  connectAgent(2);
  feed(offer(1, 1));
  const std::uint64_t First = runsAt(1).empty() ? 2 : 1;
  const std::uint64_t Second = 3 - First;
  endRun(First, runsAt(First)[0], RunEnd::Failed);
  BOOST_TEST(answers().empty());
  BOOST_REQUIRE(runsAt(Second).size() == 1);
  BOOST_TEST(runsAt(Second)[0].m_Number == 2U);
  endRun(Second, runsAt(Second)[0], RunEnd::Failed);
  BOOST_TEST((onlyOutcome() == JobOutcome::Failed));
}

// Guards against counting an endpoint's loss as an attempt of the task.
BOOST_AUTO_TEST_CASE(ALostRunCostsNoAttempt) {
  connectAgent(1);
  feed(offer(1, 1));
  for (int Round = 0; Round < 5; ++Round)
    endRun(1, runsAt(1)[0], RunEnd::Lost);
  BOOST_TEST(answers().empty());
  endRun(1, runsAt(1)[0]);
  BOOST_TEST((onlyOutcome() == JobOutcome::Completed));
}

// Guards against runs that continue after their last caller has disconnected.
BOOST_AUTO_TEST_CASE(RunsAreStoppedWhenTheLastCallerLeaves) {
  connectAgent(1);
  const JobOffered Offer = offer(1, 2);
  feed(Offer);
  feed(CallerDisconnected{Offer.m_Caller});
  BOOST_TEST(messagesTo<StopJob>(1).size() == 1U);
  BOOST_TEST(core().status().m_Jobs == 0U);
}

// Guards against running a job twice when its caller sends it again.
BOOST_AUTO_TEST_CASE(ARepeatedJobJoinsTheFirst) {
  connectAgent(1);
  const JobOffered First = offer(1, 1);
  feed(First);
  feed(offer(1, 1));
  BOOST_TEST(allRuns().size() == 1U);
  feed(CallerDisconnected{First.m_Caller});
  BOOST_TEST(messagesTo<StopJob>(1).empty());
  endAll();
  BOOST_TEST((onlyOutcome() == JobOutcome::Completed));
  feed(offer(1, 1));
  BOOST_TEST(answers().size() == 2U);
  BOOST_TEST(allRuns().empty());
}

// Guards against a job that waits for capacity that no endpoint has.
BOOST_AUTO_TEST_CASE(ATaskThatFitsNoEndpointIsRefusedAtOnceWithoutRetryAfter) {
  connectAgent(1, 10);
  feed(offer(1, 1, 100ms, 11));
  BOOST_TEST((onlyOutcome() == JobOutcome::NotRun));
  BOOST_TEST(onlyAnswer().m_RetryAfter.count() == 0);
}

// Guards against the outcome "not run" for a job with a run in flight.
BOOST_AUTO_TEST_CASE(AJobGivenUpWithRunsInFlightIsNotReportedAsNotRun) {
  connectAgent(1);
  JobOffered Offer = offer(1, 1);
  Offer.m_CallerTimeout = 300ms;
  feed(Offer);
  for (int Round = 0; Round < 6; ++Round) {
    runFor(50ms);
    reportLoad(1);
  }
  BOOST_TEST((onlyOutcome() == JobOutcome::GivenUp));
  BOOST_TEST(messagesTo<StopJob>(1).size() == 1U);
}

// Guards against a delayed answer: a job that gets no capacity is answered as
// soon as it can no longer end in time, and no task of it has run.
BOOST_AUTO_TEST_CASE(AJobThatCantEndInTimeIsAnsweredBeforeItsDeadline) {
  connectAgent(1, 1);
  feed(offer(1, 1, 2s));
  JobOffered Late = offer(2, 1, 500ms);
  Late.m_CallerTimeout = 600ms;
  feed(Late);
  for (int Round = 0; Round < 8; ++Round) {
    runFor(50ms);
    reportLoad(1);
  }
  BOOST_TEST((onlyOutcome() == JobOutcome::NotRun));
  BOOST_TEST((onlyAnswer().m_Job == JobId{2}));
  BOOST_TEST(onlyAnswer().m_RetryAfter.count() > 0);
}

// Guards against the loss of a result while the link was down.
BOOST_AUTO_TEST_CASE(EndsInAHelloAreAppliedAndMissingRunsRunAgain) {
  connectAgent(1);
  feed(offer(1, 2));
  const auto Runs = runsAt(1);
  feed(LinkClosed{LinkId{1}});
  RunnerHello NewHello = hello(1, 10, Incarnation{1});
  NewHello.m_Entry = Incarnation{70};
  NewHello.m_Ended = {TaskEnded{Runs[0], RunEnd::Done, {}, 50ms, {}}};
  feed(RunnerConnected{LinkId{2}, NewHello});
  // The second run is in neither list: the agent never received it.
  BOOST_REQUIRE(messagesTo<StartTask>(2).size() == 1);
  BOOST_TEST(messagesTo<StartTask>(2)[0].m_Run.m_Task.m_Index ==
             Runs[1].m_Task.m_Index);
  BOOST_TEST(messagesTo<StartTask>(2)[0].m_Run.m_Number == 2U);
}

// Guards against a second run of a task while an unreachable agent may still
// hold the first one: all of its leases must have expired.
BOOST_AUTO_TEST_CASE(RunsOfALostAgentRunAgainOnlyAfterAllLeases) {
  connectAgent(1);
  feed(offer(1, 1, 1s));
  const TimePoint Sent = now();
  feed(LinkClosed{LinkId{1}});
  connectAgent(2);
  while (runsAt(2).empty()) {
    BOOST_REQUIRE(now() < Sent + 4s);
    runFor(10ms);
    reportLoad(2);
  }
  BOOST_TEST((now() - Sent >= 600ms + 1000ms));
  BOOST_TEST((now() - Sent <= 2s));
}

// Guards against tasks that are started again while a restarted agent still
// ends the runs of its previous process.
BOOST_AUTO_TEST_CASE(RunsOfARestartedAgentRunAgainWhenItHasCleared) {
  connectAgent(1);
  feed(offer(1, 1));
  feed(LinkClosed{LinkId{1}});
  RunnerHello NewHello = hello(1, 10, Incarnation{2});
  NewHello.m_Endpoint.m_State = EndpointState::Clearing;
  feed(RunnerConnected{LinkId{2}, NewHello});
  BOOST_TEST(messagesTo<StartTask>(2).empty());
  EndpointReport Cleared{NewHello.m_Endpoint, {}};
  Cleared.m_Endpoint.m_State = EndpointState::Active;
  feed(MessageReceived{LinkId{2}, Cleared});
  BOOST_TEST(messagesTo<StartTask>(2).size() == 1U);
}

// Guards against tasks that are started again while a restarted agent has not
// ended the runs of its previous process: its link was reset meanwhile, and the
// second hello lists none of them.
BOOST_AUTO_TEST_CASE(ARestartedAgentThatConnectsAgainHasNotClearedYet) {
  for (const Incarnation KnownEntry : {Incarnation{}, Incarnation{70}}) {
    JobHarness Harness;
    Harness.connectAgent(1);
    Harness.feed(Harness.offer(1, 1));
    Harness.connectAgent(4);
    Harness.feed(LinkClosed{LinkId{1}});
    RunnerHello Restarted = Harness.hello(1, 10, Incarnation{2});
    Restarted.m_Endpoint.m_State = EndpointState::Absent;
    Harness.feed(RunnerConnected{LinkId{2}, Restarted});
    Harness.feed(LinkClosed{LinkId{2}});
    Restarted.m_Entry = KnownEntry;
    Harness.feed(RunnerConnected{LinkId{3}, Restarted});
    BOOST_TEST(Harness.runsAt(4).empty());
    EndpointReport Cleared{Restarted.m_Endpoint, {}};
    Cleared.m_Endpoint.m_State = EndpointState::Active;
    Harness.feed(MessageReceived{LinkId{3}, Cleared});
    BOOST_TEST(Harness.messagesTo<StartTask>(3).size() +
                   Harness.runsAt(4).size() ==
               1U);
  }
}

// Guards against reusing a run number that another entry has used at an
// endpoint.
BOOST_AUTO_TEST_CASE(ASupersededRunIsNumberedPastOthers) {
  connectAgent(1);
  feed(offer(1, 1));
  endRun(1, runsAt(1)[0], RunEnd::NotStarted, StartRefusal::Superseded);
  BOOST_REQUIRE(runsAt(1).size() == 1);
  BOOST_TEST(runsAt(1)[0].m_Number > 8U);
}

// Guards against a shutdown that drops the connections of waiting callers.
BOOST_AUTO_TEST_CASE(ShutdownWaitsForJobsAndRefusesNewOnes) {
  connectAgent(1);
  feed(offer(1, 1));
  feed(ShutdownRequested{});
  BOOST_TEST(commands<Drained>().empty());
  feed(offer(2, 1));
  BOOST_TEST((onlyOutcome() == JobOutcome::NotRun));
  endAll();
  BOOST_TEST(commands<Drained>().size() == 1U);
}

// Guards against jobs that are counted as waiting once a task has started.
BOOST_AUTO_TEST_CASE(StateAndWaitingFollowTheFirstStart) {
  connectAgent(1, 1);
  feed(offer(1, 1, 2s));
  feed(offer(2, 1, 2s));
  BOOST_TEST(core().waiting("permits") == 1U);
  BOOST_TEST((core().state(JobId{1}) == JobState::Running));
  BOOST_TEST((core().state(JobId{2}) == JobState::Queued));
  BOOST_TEST(!core().state(JobId{3}).has_value());
  endAll();
  BOOST_TEST((core().state(JobId{1}) == JobState::Completed));
}

// Guards against a job that is never run because its id differs from that of an
// earlier one in the case of a digit only, and whose caller gets the other
// answer.
BOOST_AUTO_TEST_CASE(IdsThatDifferInCaseOnlyAreDifferentJobs) {
  connectAgent(1);
  feed(offer(0xa, 1));
  JobOffered Other = offer(0xa, 1);
  Other.m_Job.m_Id.m_UpperCase = 1;
  feed(Other);
  BOOST_TEST(runsAt(1).size() == 2U);
  endRun(1, runsAt(1)[0]);
  BOOST_REQUIRE(answers().size() == 1U);
  BOOST_TEST((answers()[0].m_Job == JobId{0xa}));
  BOOST_TEST((core().state(Other.m_Job.m_Id) == JobState::Running));
  feed(JobCancelled{CallerId{99}, Other.m_Job.m_Id});
  BOOST_REQUIRE(messagesTo<StopJob>(1).size() == 1U);
  BOOST_TEST((messagesTo<StopJob>(1)[0].m_Job == Other.m_Job.m_Id));
  BOOST_TEST((core().state(JobId{0xa}) == JobState::Completed));
}

// Guards against a cancelled job that continues to run.
BOOST_AUTO_TEST_CASE(ACancelledJobIsStoppedAndItsCallerAnswered) {
  connectAgent(1);
  feed(offer(1, 1));
  feed(JobCancelled{CallerId{99}, JobId{1}});
  BOOST_TEST(answers().size() == 2U);
  BOOST_TEST(messagesTo<StopJob>(1).size() == 1U);
  clearCommands();
  feed(JobCancelled{CallerId{99}, JobId{1}});
  BOOST_TEST((onlyOutcome() == JobOutcome::Unknown));
}

// Guards against tasks of a cancelled job that start because a delayed copy of
// its request arrives after the cancel was acknowledged.
BOOST_AUTO_TEST_CASE(ARepeatedRequestForACancelledJobGetsThatAnswer) {
  connectAgent(1);
  feed(offer(1, 1));
  feed(JobCancelled{CallerId{99}, JobId{1}});
  for (int Repetition = 0; Repetition < 2; ++Repetition) {
    runWithReports(4s);
    clearCommands();
    feed(offer(1, 1));
    BOOST_TEST(messagesTo<StartTask>(1).empty());
    BOOST_TEST((onlyOutcome() == JobOutcome::Cancelled));
  }
  BOOST_TEST((core().state(JobId{1}) == JobState::Cancelled));
}

// Guards against taking a broken connection for a cancel: the caller sends the
// job again and waits for its result.
BOOST_AUTO_TEST_CASE(ARepeatedRequestOfADisconnectedCallerRuns) {
  connectAgent(1);
  const JobOffered First = offer(1, 1);
  feed(First);
  feed(CallerDisconnected{First.m_Caller});
  BOOST_TEST(!core().state(JobId{1}).has_value());
  clearCommands();
  feed(offer(1, 1));
  BOOST_TEST(messagesTo<StartTask>(1).size() == 1U);
  BOOST_TEST(answers().empty());
}

// Guards against running a job whose caller lost its connection, cancelled the
// job on a new one and was told so.
BOOST_AUTO_TEST_CASE(ACancelAfterTheDisconnectIsKept) {
  connectAgent(1);
  const JobOffered First = offer(1, 1);
  feed(First);
  feed(CallerDisconnected{First.m_Caller});
  runWithReports(8s);
  clearCommands();
  feed(JobCancelled{CallerId{99}, JobId{1}});
  BOOST_TEST((onlyOutcome() == JobOutcome::Cancelled));
  runWithReports(8s);
  clearCommands();
  feed(offer(1, 1));
  BOOST_TEST(messagesTo<StartTask>(1).empty());
  BOOST_TEST((onlyOutcome() == JobOutcome::Cancelled));
}

// Guards against a second run of a task by an entry that was suspended: the
// caller has disconnected and sent the job to another entry, and the disconnect
// is processed shortly after the job itself.
BOOST_AUTO_TEST_CASE(AfterASuspensionDisconnectsAreProcessedBeforeStarts) {
  connectAgent(1);
  reportLoad(1);
  feed(Tick{});
  advance(3s);
  const JobOffered Stale = offer(1, 2);
  feed(Stale);
  BOOST_TEST(allRuns().empty());
  advance(5ms);
  feed(CallerDisconnected{Stale.m_Caller});
  runFor(200ms);
  BOOST_TEST(allRuns().empty());
}

BOOST_AUTO_TEST_CASE(AfterASuspensionStartsResumeSoon) {
  connectAgent(1);
  feed(Tick{});
  advance(3s);
  feed(offer(1, 2, 900ms));
  BOOST_TEST(allRuns().empty());
  reportLoad(1);
  runFor(110ms);
  BOOST_TEST(allRuns().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
