// Requests and jobs from arrival to answer.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(EntryCore, EntryFixture)

// Guards against answers that reach the wrong caller or lose their body.
BOOST_AUTO_TEST_CASE(RequestGetsTheResultOfItsOwnTask) {
  const LinkId Agent = m_Entry.connect("a", 2);
  m_Entry.submit(1);
  m_Entry.submit(2);
  const auto Sent = m_Entry.dispatches(Agent);
  BOOST_REQUIRE(Sent.size() == 2U);
  BOOST_TEST(bytesOf(Sent[1].m_Body) == "request 2");
  m_Entry.finish(Agent, Sent[1].m_Sequence);
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Caller == CallerId{2}));
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Completed));
  BOOST_TEST(Answers[0].m_HttpStatus == 200);
  BOOST_TEST(bytesOf(Answers[0].m_Body) == "answer 2");
}

// Guards against partial job answers and answers in the order of completion.
BOOST_AUTO_TEST_CASE(JobAnswersOnceWithAllTasksInOrder) {
  const LinkId Agent = m_Entry.connect("a", 3);
  m_Entry.submitJob(1, 3);
  const auto Sent = m_Entry.dispatches(Agent);
  BOOST_REQUIRE(Sent.size() == 3U);
  m_Entry.finish(Agent, 3);
  m_Entry.finish(Agent, 1);
  BOOST_TEST(m_Entry.take<AnswerJob>().empty());
  m_Entry.finish(Agent, 2);
  const auto Answers = m_Entry.take<AnswerJob>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_REQUIRE(Answers[0].m_Tasks.size() == 3U);
  for (const Dispatch &Each : Sent)
    BOOST_TEST(bytesOf(Answers[0].m_Tasks[Each.m_TaskIndex].m_Body) ==
               "answer " + std::to_string(Each.m_Sequence));
}

// Guards against refused tasks that lose their queue position or are not
// dispatched again.
BOOST_AUTO_TEST_CASE(RefusedTaskReturnsToTheHeadOfTheQueue) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  m_Entry.submit(2);
  BOOST_REQUIRE(m_Entry.dispatches(Agent).size() == 1U);
  m_Entry.refuse(Agent, 1, RefusalReason::DeadlinePassed);
  const auto Again = m_Entry.dispatches(Agent);
  BOOST_REQUIRE(Again.size() == 1U);
  BOOST_TEST((Again[0].m_Request == RequestId{1, 1}));
  BOOST_TEST(Again[0].m_Sequence == 2U);
}

// Guards against dispatching a refused task endlessly.
BOOST_AUTO_TEST_CASE(TaskRefusedTooOftenIsAnsweredNotRun) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  for (Sequence Number = 1; Number <= 16; ++Number) {
    BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
    m_Entry.refuse(Agent, Number, RefusalReason::DeadlinePassed);
  }
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::NotRun));
  BOOST_TEST((Answers[0].m_Reason == RefusalReason::DeadlinePassed));
}

// Guards against failing the task at the head of the queue long before its
// deadline because other entries temporarily use all slots.
BOOST_AUTO_TEST_CASE(BusyAgentsDoNotUseUpTheRefusalLimit) {
  const LinkId Agent = m_Entry.connect("a", 1);
  RequestArrived New = m_Entry.request(1);
  New.m_Deadline = 100s;
  m_Entry.send(New);
  Sequence Newest = 0;
  for (int Round = 0; Round < 30; ++Round) {
    for (const Dispatch &Each : m_Entry.dispatches(Agent))
      Newest = Each.m_Sequence;
    m_Entry.refuse(Agent, Newest);
    m_Entry.advance(2s);
  }
  BOOST_TEST(Newest > 20U);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
}

// Guards against jobs that continue after a failure, and against one
// cancellation per task.
BOOST_AUTO_TEST_CASE(FirstFailureFailsTheJobAndCancelsOncePerAgent) {
  const LinkId A = m_Entry.connect("a", 3);
  const LinkId B = m_Entry.connect("b", 3);
  m_Entry.submitJob(1, 8);
  BOOST_TEST(m_Entry.dispatches(A).size() == 3U);
  BOOST_TEST(m_Entry.dispatches(B).size() == 3U);
  m_Entry.finish(A, 2, Outcome::Failed);
  const auto Answers = m_Entry.take<AnswerJob>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Failed));
  BOOST_TEST(Answers[0].m_Tasks.empty());
  BOOST_TEST(m_Entry.sent<CancelTasks>(A).size() == 1U);
  BOOST_TEST(m_Entry.sent<CancelTasks>(B).size() == 1U);
  m_Entry.finish(A, 1);
  m_Entry.finish(B, 1);
  BOOST_TEST(m_Entry.dispatches(A).size() + m_Entry.dispatches(B).size() == 0U);
  BOOST_TEST(m_Entry.take<AnswerJob>().empty());
}

// Guards against "not run" for work that may have run, and against starts after
// a cancellation.
BOOST_AUTO_TEST_CASE(CancellationReportsWhetherTheRequestMayHaveRun) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  m_Entry.submit(2);
  m_Entry.dispatches(Agent);
  m_Entry.send(CancelRequested{RequestId{1, 2}});
  m_Entry.send(CancelRequested{RequestId{1, 1}});
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::NotRun));
  BOOST_TEST((Answers[0].m_Reason == RefusalReason::Cancelled));
  BOOST_TEST((Answers[1].m_Outcome == Outcome::Cancelled));
  BOOST_TEST(m_Entry.sent<CancelTasks>(Agent).size() == 1U);
  m_Entry.refuse(Agent, 1, RefusalReason::Cancelled);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
}

// Guards against answers to closed connections and work whose result no caller
// receives.
BOOST_AUTO_TEST_CASE(WorkOfADisconnectedCallerIsCancelledWithoutAnswer) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  m_Entry.submitJob(2, 3);
  m_Entry.dispatches(Agent);
  m_Entry.send(CallerDisconnected{CallerId{1}});
  m_Entry.send(CallerDisconnected{CallerId{2}});
  m_Entry.finish(Agent, 1);
  BOOST_TEST(m_Entry.sent<CancelTasks>(Agent).size() == 1U);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
  BOOST_TEST(m_Entry.take<AnswerJob>().empty());
  BOOST_TEST(m_Entry.status().m_Queued == 0U);
}

// Guards against dispatches after the deadline and against "not run" for a
// task that is running.
BOOST_AUTO_TEST_CASE(DeadlineAnswersQueuedNotRunAndRunningUnknown) {
  for (const bool NonIdempotent : {false, true}) {
    EntryHarness Entry;
    const LinkId Agent = Entry.connect("a", 1);
    Entry.submit(1, NonIdempotent);
    Entry.submit(2, NonIdempotent);
    BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
    Entry.advance(9s);
    Entry.receive(Agent, Heartbeat{1});
    Entry.advance(1s);
    const auto Answers = Entry.take<AnswerRequest>();
    BOOST_REQUIRE(Answers.size() == 2U);
    BOOST_TEST((Answers[0].m_Outcome == Outcome::Unknown));
    BOOST_TEST((Answers[1].m_Outcome == Outcome::NotRun));
    BOOST_TEST((Answers[1].m_Reason == RefusalReason::DeadlinePassed));
    BOOST_TEST(Entry.sent<CancelTasks>(Agent).size() == 1U);
    Entry.finish(Agent, 1);
    BOOST_TEST(Entry.dispatches(Agent).empty());
  }
}

// Guards against dispatching work past its deadline when ticks are late.
BOOST_AUTO_TEST_CASE(OverdueRequestIsNotDispatchedBeforeALateTick) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  m_Entry.submit(2);
  m_Entry.dispatches(Agent);
  m_Entry.advanceWithoutTicks(10s);
  m_Entry.finish(Agent, 1);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 2U);
  BOOST_TEST((Answers[1].m_Outcome == Outcome::NotRun));
}

// Guards against a shutdown that interrupts work or never completes.
BOOST_AUTO_TEST_CASE(ShutdownCompletesAcceptedWorkThenSendsGoodbye) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  m_Entry.submit(2);
  m_Entry.send(ShutdownRequested{});
  BOOST_TEST(!m_Entry.status().m_Ready);
  m_Entry.finish(Agent, 1);
  BOOST_TEST(m_Entry.take<Drained>().empty());
  m_Entry.finish(Agent, 2);
  BOOST_TEST(m_Entry.take<AnswerRequest>().size() == 2U);
  BOOST_TEST(m_Entry.sent<Goodbye>(Agent).size() == 1U);
  m_Entry.send(Tick{});
  BOOST_TEST(m_Entry.take<Drained>().size() == 1U);
}

// Guards against spans that are not linked to those of the agent.
BOOST_AUTO_TEST_CASE(AttemptSpanIsTheParentInTheDispatch) {
  const LinkId Agent = m_Entry.connect("a", 1);
  RequestArrived New = m_Entry.request(1);
  New.m_Trace = TraceContext{RequestId{8, 9}, 42};
  m_Entry.send(New);
  const auto Sent = m_Entry.dispatches(Agent);
  m_Entry.finish(Agent, 1);
  const auto Spans = m_Entry.take<SpanEnded>();
  BOOST_REQUIRE(Spans.size() == 2U);
  BOOST_TEST(Spans[0].m_Step == "dispatch");
  BOOST_TEST(Spans[0].m_Peer == "a");
  BOOST_TEST(Spans[0].m_SpanId == Sent[0].m_Trace.m_ParentSpanId);
  BOOST_TEST(Spans[1].m_Step == "entry");
  BOOST_TEST(Spans[1].m_SpanId == Spans[0].m_Trace.m_ParentSpanId);
  BOOST_TEST(Spans[1].m_Trace.m_ParentSpanId == 42U);
  BOOST_TEST((Spans[0].m_Trace.m_TraceId == RequestId{8, 9}));
}

// Guards against hedging where the preset disables it, hedges of non-idempotent
// work, and attempts that continue after the answer.
BOOST_AUTO_TEST_CASE(SlowIdempotentRequestIsHedgedWhereThePresetAllows) {
  for (const bool Allowed : {true, false}) {
    EntryHarness Entry;
    Entry.adopt(2, Allowed ? "hedged" : "ordinary");
    const LinkId A = Entry.connect("a", 1);
    const LinkId B = Entry.connect("b", 1);
    Entry.submit(1);
    Entry.finish(Entry.dispatches(A).empty() ? B : A, 1);
    Entry.take<SendMessage>();
    Entry.submit(2, true);
    Entry.advance(400ms);
    BOOST_TEST(Entry.status().m_Hedges == 0U);
    Entry.send(CancelRequested{RequestId{1, 2}});
    Entry.take<AnswerRequest>();
    for (const LinkId Each : {A, B})
      for (const Dispatch &Sent : Entry.dispatches(Each))
        Entry.refuse(Each, Sent.m_Sequence, RefusalReason::Cancelled);
    Entry.take<SendMessage>();
    Entry.submit(3);
    const auto OnA = Entry.dispatches(A);
    const LinkId First = OnA.empty() ? B : A;
    const LinkId Second = OnA.empty() ? A : B;
    // The hedge is due at 300 ms, but one task that takes three times the usual
    // run time does not make its agent a straggler; four times does.
    Entry.advance(399ms);
    BOOST_TEST(Entry.dispatches(Second).empty());
    Entry.advance(1ms);
    const auto Hedge = Entry.dispatches(Second);
    BOOST_REQUIRE(Hedge.size() == (Allowed ? 1U : 0U));
    if (!Allowed)
      continue;
    Entry.finish(Second, Hedge[0].m_Sequence);
    BOOST_TEST(Entry.take<AnswerRequest>().size() == 1U);
    BOOST_TEST(Entry.sent<CancelTasks>(First).size() == 1U);
    BOOST_TEST(Entry.sent<CancelTasks>(Second).empty());
  }
}

// Guards against two attempts at one agent, which a cancellation by request id
// could not distinguish.
BOOST_AUTO_TEST_CASE(HedgeNeedsASecondAgent) {
  m_Entry.adopt(2, "hedged");
  const LinkId Agent = m_Entry.connect("a", 4);
  m_Entry.submit(1);
  m_Entry.finish(Agent, 1);
  m_Entry.submit(2);
  m_Entry.advance(900ms);
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
