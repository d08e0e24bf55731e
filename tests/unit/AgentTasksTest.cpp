// Tasks in an agent's core: started at most once, within slots and deadlines.
#include "AgentCoreFixture.h"

using namespace cyclamencroft;

BOOST_FIXTURE_TEST_SUITE(AgentTasks, AgentCoreFixture)

// Guards against a task that isn't started or answered, and against a slot that
// isn't freed.
BOOST_AUTO_TEST_CASE(DispatchStartsAndResultIsSent) {
  connect();
  const RunId Run = start(1);
  advance(120 * Millisecond);
  end(Run);
  const auto Results = sent<TaskResult>();
  BOOST_REQUIRE_EQUAL(Results.size(), 1U);
  BOOST_TEST(Results[0].m_Sequence == 1U);
  BOOST_TEST(Results[0].m_RunTime.count() == 120000);
  BOOST_TEST(Results[0].m_Running == 0U);
  BOOST_TEST(bytesOf(Results[0].m_Body) == "answer");
}

// Guards against a result that is sent for the wrong task or twice.
BOOST_AUTO_TEST_CASE(ResultsAreMatchedByRun) {
  connect();
  const RunId First = start(1);
  const RunId Second = start(2);
  end(Second);
  BOOST_TEST(sent<TaskResult>().at(0).m_Sequence == 2U);
  end(Second);
  BOOST_TEST(sent<TaskResult>().empty());
  end(First);
  BOOST_TEST(sent<TaskResult>().at(0).m_Sequence == 1U);
}

// Guards against a second start, and against reporting a running task as "not
// run".
BOOST_AUTO_TEST_CASE(RepeatedDispatchOfRunningTaskIsIgnored) {
  connect();
  start(1);
  dispatch(1);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(sent<TaskRefused>().empty());
}

// Guards against a second start, and against a lost result.
BOOST_AUTO_TEST_CASE(RepeatedDispatchOfFinishedTaskResendsResult) {
  connect();
  end(start(1));
  dispatch(1);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(sent<TaskRefused>().empty());
  BOOST_TEST(sent<TaskResult>().size() == 1U);
}

// Guards against a second start of a task that the entry has settled.
BOOST_AUTO_TEST_CASE(DispatchBelowFloorIsNeitherStartedNorRefused) {
  connect();
  m_Floor = 5;
  start(5);
  m_Floor = 1;
  dispatch(4);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(sent<TaskRefused>().empty());
}

// Guards against starting a sequence that the window can't record.
BOOST_AUTO_TEST_CASE(DispatchBeyondWindowClosesLink) {
  connect();
  dispatch(1 + 1024);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(sent<TaskRefused>().empty());
  BOOST_TEST(commands<CloseLink>().size() == 1U);
}

// Guards against starting a fenced task when its dispatch arrives late: the
// entry has sent it to another agent.
BOOST_AUTO_TEST_CASE(FencedSequenceNeverStarts) {
  connect();
  BOOST_TEST((reconcile(3) == SequenceState::Fenced));
  dispatch(3);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(refusal() == RefusalReason::SequenceRepeated);
}

// Guards against starting a refused task when its dispatch is repeated.
BOOST_AUTO_TEST_CASE(RefusedSequenceNeverStarts) {
  connect();
  const RunId First = start(1);
  start(2);
  dispatch(3);
  BOOST_TEST(refusal() == RefusalReason::NoSlot);
  BOOST_TEST(sent<TaskRefused>()[0].m_Running == 2U);
  end(First);
  dispatch(3);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(refusal() == RefusalReason::SequenceRepeated);
  BOOST_TEST((reconcile(3) == SequenceState::Fenced));
}

// Guards against more requests at an endpoint than it accepts connections.
BOOST_AUTO_TEST_CASE(ConnectionsLimitRunningTasks) {
  m_Connections = 1;
  connect();
  start(1);
  dispatch(2);
  BOOST_TEST(refusal() == RefusalReason::NoSlot);
}

// Guards against two entries that together exceed the slots.
BOOST_AUTO_TEST_CASE(SlotsAreSharedByAllEntries) {
  connect();
  start(1);
  start(2);
  openLink(LinkId{2}, 1);
  receiveEntryHello(2);
  dispatch(1);
  BOOST_TEST(refusal() == RefusalReason::NoSlot);
}

// Guards against a queue that is unbounded, out of order or exceeds the slots.
BOOST_AUTO_TEST_CASE(QueueIsBoundedAndFirstInFirstOut) {
  m_Slots = 1;
  connect();
  allowQueue(2);
  const RunId Run = start(1);
  dispatch(2, {2, 2});
  BOOST_TEST(starts() == 0U);
  dispatch(3, {3, 3});
  dispatch(4, {4, 4});
  BOOST_TEST(refusal() == RefusalReason::NoSlot);
  end(Run);
  BOOST_REQUIRE_EQUAL(starts(), 1U);
  BOOST_TEST((commands<StartRun>()[0].m_Request == RequestId{2, 2}));
  BOOST_TEST(sent<TaskResult>().at(0).m_Running == 2U);
}

// Guards against a start after the deadline, and against a task that is never
// answered.
BOOST_AUTO_TEST_CASE(WaitingTaskIsRefusedAtItsDeadline) {
  m_Slots = 1;
  connect();
  allowQueue(1);
  start(1);
  m_TimeLeft = Second;
  dispatch(2);
  BOOST_TEST((m_Core.nextWakeup() == m_Now + Second));
  advance(Second);
  feed(Tick{});
  BOOST_TEST(refusal() == RefusalReason::DeadlinePassed);
}

// Guards against a start after the deadline when a frozen agent resumes: the
// message waited in the socket, which only its send time by the sender's clock
// shows.
BOOST_AUTO_TEST_CASE(DelayedDispatchIsNotStartedAfterItsDeadline) {
  connect();
  end(start(1));
  m_TimeLeft = Second;
  const Dispatch InTime = dispatchOf(2);
  const Dispatch Late = dispatchOf(3);
  advance(900 * Millisecond);
  receive(InTime);
  BOOST_REQUIRE_EQUAL(starts(), 1U);
  const TimePoint Deadline = commands<StartRun>()[0].m_Deadline;
  BOOST_TEST(((Deadline - m_Now) / Millisecond) == 100);
  advance(200 * Millisecond);
  receive(Late);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(refusal() == RefusalReason::DeadlinePassed);
}

// Guards against a first dispatch that starts after its deadline, because there
// is no earlier dispatch to compare its delay with.
BOOST_AUTO_TEST_CASE(FirstDispatchIsComparedWithDelayOfTheHello) {
  connect();
  m_TimeLeft = Second;
  const Dispatch Late = dispatchOf(1);
  advance(1100 * Millisecond);
  receive(Late);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(refusal() == RefusalReason::DeadlinePassed);
}

// Guards against an estimate that is lost with the link: the first dispatch
// after a freeze often comes on a new link.
BOOST_AUTO_TEST_CASE(DelayIsKnownOnNewLinkOfSameEntry) {
  connect();
  end(start(1));
  reconnect(LinkId{2});
  m_TimeLeft = Second;
  const Dispatch Late = dispatchOf(2);
  advance(Second + 10 * Millisecond);
  receive(Late);
  BOOST_TEST(refusal() == RefusalReason::DeadlinePassed);
}

// Guards against a cancelled task that is started later, and against tasks of
// other requests being cancelled.
BOOST_AUTO_TEST_CASE(CancelRefusesWaitingAndAbortsRunningTasks) {
  m_Slots = 1;
  connect();
  allowQueue(2);
  const RunId Run = start(1, {7, 7});
  dispatch(2, {7, 7});
  dispatch(3, {8, 8});
  receive(CancelTasks{{7, 7}});
  BOOST_REQUIRE_EQUAL(sent<TaskRefused>().size(), 1U);
  BOOST_TEST(sent<TaskRefused>()[0].m_Sequence == 2U);
  BOOST_TEST(refusal() == RefusalReason::Cancelled);
  BOOST_REQUIRE_EQUAL(commands<AbortRun>().size(), 1U);
  BOOST_TEST((commands<AbortRun>()[0].m_Run == Run));
  receive(CancelTasks{{7, 7}});
  BOOST_TEST(commands<AbortRun>().empty());
  end(Run, Outcome::Unknown);
  BOOST_TEST((commands<StartRun>().at(0).m_Request == RequestId{8, 8}));
}

// Guards against tasks lost at an endpoint that has failed: the connection was
// refused, so the task has not run, and further tasks would fail alike.
BOOST_AUTO_TEST_CASE(UnreachableEndpointRefusesTaskAndEndsLease) {
  connect();
  end(start(1), Outcome::NotRun);
  BOOST_TEST(refusal() == RefusalReason::EndpointAbsent);
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Draining));
  dispatch(2);
  BOOST_TEST(refusal() == RefusalReason::EndpointAbsent);
  announce();
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Active));
}

// Guards against treating an endpoint as absent because a connection attempt
// was cancelled or a frozen agent made it after the deadline.
BOOST_AUTO_TEST_CASE(CancelledOrOverdueAttemptKeepsLease) {
  connect();
  const RunId Run = start(1, {7, 7});
  receive(CancelTasks{{7, 7}});
  end(Run, Outcome::NotRun);
  BOOST_TEST(refusal() == RefusalReason::Cancelled);
  m_TimeLeft = Second;
  const RunId Late = start(2);
  advance(Second);
  end(Late, Outcome::NotRun);
  BOOST_TEST(refusal() == RefusalReason::DeadlinePassed);
  BOOST_TEST(m_Core.status().m_Ready);
}

BOOST_AUTO_TEST_SUITE_END()
