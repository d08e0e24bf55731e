// At-most-once starts: outcomes after lost links, restarts, and duplicate or
// late messages.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// Takes the only answer to a request.
AnswerRequest onlyAnswer(EntryHarness &Entry) {
  const auto Answers = Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  return Answers[0];
}

void reply(EntryHarness &Entry, LinkId Link, Sequence Number,
           SequenceState State) {
  Entry.receive(Link, ReconcileReply{{SequenceReport{Number, State}}});
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryAtMostOnce, EntryFixture)

// Guards against dispatching a task to a second agent while the first one may
// still run it.
BOOST_AUTO_TEST_CASE(TaskInDoubtIsNotMovedWithinTheGracePeriod) {
  const LinkId First = m_Entry.connect("a");
  m_Entry.submit(1, true);
  BOOST_REQUIRE(m_Entry.dispatches(First).size() == 1U);
  const LinkId Other = m_Entry.connect("b");
  m_Entry.close(First);
  m_Entry.advance(1900ms);
  BOOST_TEST(m_Entry.dispatches(Other).empty());
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
  m_Entry.advance(200ms);
  BOOST_TEST(m_Entry.dispatches(Other).empty());
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::Unknown));
}

// Guards against lost results and second starts after a brief loss of the link.
BOOST_AUTO_TEST_CASE(ReconciledTaskKeepsRunningAndAnswers) {
  const LinkId Old = m_Entry.connect("a", 2);
  m_Entry.submit(1, true);
  m_Entry.close(Old);
  const LinkId New = m_Entry.connect("a", 2);
  const auto Asked = m_Entry.sent<Reconcile>(New);
  BOOST_REQUIRE(Asked.size() == 1U);
  BOOST_TEST(Asked[0].m_Sequences == std::vector<Sequence>{1},
             boost::test_tools::per_element());
  m_Entry.submit(2, true);
  BOOST_TEST(m_Entry.dispatches(New).empty());
  reply(m_Entry, New, 1, SequenceState::Running);
  BOOST_TEST(m_Entry.dispatches(New).size() == 1U);
  m_Entry.advance(3s);
  m_Entry.finish(New, 1);
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::Completed));
}

// Guards against failing a task that can safely be dispatched again.
BOOST_AUTO_TEST_CASE(FencedTaskIsSentAgainUnderANewSequence) {
  const LinkId Old = m_Entry.connect("a");
  m_Entry.submit(1, true);
  m_Entry.close(Old);
  const LinkId New = m_Entry.connect("a");
  reply(m_Entry, New, 1, SequenceState::Fenced);
  const auto Again = m_Entry.dispatches(New);
  BOOST_REQUIRE(Again.size() == 1U);
  BOOST_TEST(Again[0].m_Sequence == 2U);
  BOOST_TEST(Again[0].m_Floor == 2U);
}

// Guards against applying a duplicate fence reply, also when the first copy has
// already allowed new dispatches.
BOOST_AUTO_TEST_CASE(RepeatedReconcileReplyHasNoEffect) {
  const LinkId Old = m_Entry.connect("a");
  m_Entry.submit(1, true);
  m_Entry.close(Old);
  const LinkId New = m_Entry.connect("a");
  reply(m_Entry, New, 1, SequenceState::Fenced);
  reply(m_Entry, New, 1, SequenceState::Fenced);
  reply(m_Entry, New, 2, SequenceState::Fenced);
  BOOST_TEST(m_Entry.dispatches(New).size() == 1U);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
}

// Guards against treating a sequence that is reported as unknown, or is missing
// in the reply, as not started.
BOOST_AUTO_TEST_CASE(SequenceUnknownOrMissingInTheReplyIsUnknown) {
  for (const bool Missing : {false, true}) {
    EntryHarness Entry;
    const LinkId Old = Entry.connect("a");
    Entry.submit(1, true);
    Entry.close(Old);
    const LinkId New = Entry.connect("a");
    Missing ? Entry.receive(New, ReconcileReply{})
            : reply(Entry, New, 1, SequenceState::Unknown);
    BOOST_TEST(Entry.dispatches(New).empty());
    BOOST_TEST((onlyAnswer(Entry).m_Outcome == Outcome::Unknown));
  }
}

// Guards against reconciling with an agent that has lost its record.
BOOST_AUTO_TEST_CASE(NewWindowMakesOutcomesUnknown) {
  const LinkId Old = m_Entry.connect("a");
  m_Entry.submit(1, true);
  m_Entry.close(Old);
  AgentHello Hello = EntryHarness::hello("a");
  Hello.m_WindowId = 2;
  const LinkId New = m_Entry.connect(Hello);
  BOOST_TEST(m_Entry.sent<Reconcile>(New).empty());
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::Unknown));
  m_Entry.submit(2, true);
  const auto Sent = m_Entry.dispatches(New);
  BOOST_REQUIRE(Sent.size() == 1U);
  BOOST_TEST(Sent[0].m_Sequence == 2U);
}

// Guards against sequence numbers that do not restart with a restarted agent,
// and against relying on its empty record.
BOOST_AUTO_TEST_CASE(NewIncarnationMakesOutcomesUnknownAndRestartsSequences) {
  const LinkId Old = m_Entry.connect("a");
  m_Entry.submit(1, true);
  AgentHello Hello = EntryHarness::hello("a");
  Hello.m_Incarnation = Incarnation{6};
  const LinkId New = m_Entry.connect(Hello);
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::Unknown));
  m_Entry.finish(Old, 1);
  m_Entry.submit(2, true);
  const auto Sent = m_Entry.dispatches(New);
  BOOST_REQUIRE(Sent.size() == 1U);
  BOOST_TEST(Sent[0].m_Sequence == 1U);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
}

// Guards against reuse of a sequence number that the agent's window has
// admitted.
BOOST_AUTO_TEST_CASE(SequencesContinueWhenTheSameWindowReconnectsLate) {
  const LinkId Old = m_Entry.connect("a");
  m_Entry.submit(1, true);
  m_Entry.close(Old);
  m_Entry.advance(1h);
  const LinkId New = m_Entry.connect("a");
  m_Entry.take<AnswerRequest>();
  m_Entry.finish(New, 1);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
  m_Entry.submit(2, true);
  const auto Sent = m_Entry.dispatches(New);
  BOOST_REQUIRE(Sent.size() == 1U);
  BOOST_TEST(Sent[0].m_Sequence == 2U);
  BOOST_TEST(Sent[0].m_Floor == 2U);
}

// Guards against a second start when a duplicate of the dispatch has already
// started the task.
BOOST_AUTO_TEST_CASE(RefusalAsRepeatedDoesNotSettleTheTask) {
  const LinkId Agent = m_Entry.connect("a", 2);
  m_Entry.submit(1, true);
  BOOST_REQUIRE(m_Entry.dispatches(Agent).size() == 1U);
  m_Entry.refuse(Agent, 1, RefusalReason::SequenceRepeated);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
  m_Entry.finish(Agent, 1);
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::Completed));
}

// Guards against applying a refusal that overtakes or follows the result.
BOOST_AUTO_TEST_CASE(MessagesAboutSettledSequencesAreDropped) {
  const LinkId Agent = m_Entry.connect("a", 2);
  const LinkId Other = m_Entry.connect("b", 2);
  m_Entry.submit(1, true);
  const LinkId Ran = m_Entry.dispatches(Agent).empty() ? Other : Agent;
  m_Entry.dispatches(Other);
  m_Entry.refuse(Ran == Agent ? Other : Agent, 1);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
  m_Entry.finish(Ran, 1);
  m_Entry.finish(Ran, 1);
  m_Entry.refuse(Ran, 1, RefusalReason::DeadlinePassed);
  m_Entry.finish(Ran, 99);
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::Completed));
  BOOST_TEST(m_Entry.dispatches(Agent).size() +
                 m_Entry.dispatches(Other).size() ==
             0U);
}

// Guards against processing messages from a replaced link.
BOOST_AUTO_TEST_CASE(RefusalOnAReplacedLinkIsDropped) {
  const LinkId Old = m_Entry.connect("a");
  m_Entry.submit(1, true);
  const LinkId New = m_Entry.connect("a");
  BOOST_TEST(m_Entry.take<CloseLink>().size() == 1U);
  m_Entry.refuse(Old, 1, RefusalReason::DeadlinePassed);
  reply(m_Entry, New, 1, SequenceState::Running);
  BOOST_TEST(m_Entry.dispatches(New).empty());
  m_Entry.close(Old);
  m_Entry.advance(3s);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
}

// Guards against retries of a non-idempotent request, and against answering an
// idempotent one as unknown while a retry is allowed.
BOOST_AUTO_TEST_CASE(OnlyIdempotentRequestsAreRetriedAfterUnknown) {
  for (const bool NonIdempotent : {false, true}) {
    EntryHarness Entry;
    const LinkId Agent = Entry.connect("a", 2);
    Entry.submit(1, NonIdempotent);
    BOOST_REQUIRE(Entry.dispatches(Agent).size() == 1U);
    Entry.finish(Agent, 1, Outcome::Unknown);
    BOOST_TEST(Entry.dispatches(Agent).size() == (NonIdempotent ? 0U : 1U));
    if (NonIdempotent)
      BOOST_TEST((onlyAnswer(Entry).m_Outcome == Outcome::Unknown));
    else
      BOOST_TEST(Entry.take<AnswerRequest>().empty());
  }
}

// Guards against unlimited retries.
BOOST_AUTO_TEST_CASE(IdempotentRequestIsAnsweredUnknownAfterThreeAttempts) {
  const LinkId Agent = m_Entry.connect("a", 4);
  m_Entry.submit(1);
  for (Sequence Number = 1; Number <= 3; ++Number)
    m_Entry.finish(Agent, Number, Outcome::Unknown);
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 3U);
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::Unknown));
}

// Guards against dispatching a job's task again after its outcome became
// unknown.
BOOST_AUTO_TEST_CASE(UnknownTaskFailsItsJob) {
  const LinkId First = m_Entry.connect("a", 2);
  m_Entry.submitJob(1, 2);
  BOOST_REQUIRE(m_Entry.dispatches(First).size() == 2U);
  const LinkId Other = m_Entry.connect("b", 2);
  m_Entry.close(First);
  m_Entry.advance(3s);
  BOOST_TEST(m_Entry.dispatches(Other).empty());
  const auto Answers = m_Entry.take<AnswerJob>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Failed));
  BOOST_TEST(Answers[0].m_Tasks.empty());
}

// Guards against sequences that exceed the capacity of the agent's window.
BOOST_AUTO_TEST_CASE(LongTaskKeepsSequencesWithinTheWindow) {
  const LinkId Agent = m_Entry.connect("a", 3);
  m_Entry.submit(1);
  m_Entry.dispatches(Agent);
  Sequence Newest = 1;
  for (std::uint64_t Number = 2; Number <= 1100; Number += 2) {
    m_Entry.submit(Number);
    m_Entry.submit(Number + 1);
    for (const Dispatch &Each : m_Entry.dispatches(Agent)) {
      Newest = Each.m_Sequence;
      if (Newest % 2 == 1)
        m_Entry.finish(Agent, Newest - 1);
    }
    if (Newest % 2 == 1)
      m_Entry.finish(Agent, Newest);
  }
  BOOST_TEST(Newest == 1024U);
  m_Entry.finish(Agent, 1);
  const auto Next = m_Entry.dispatches(Agent);
  BOOST_REQUIRE(!Next.empty());
  BOOST_TEST(Next[0].m_Sequence == 1025U);
  BOOST_TEST(Next[0].m_Floor == 1024U);
}

// Guards against a second run under the caller's key, and against a key that
// stays in use after its request was not run.
BOOST_AUTO_TEST_CASE(RepeatedKeyIsRefusedUnlessNothingRan) {
  const LinkId Agent = m_Entry.connect("a");
  const auto Submit = [this](std::uint64_t Number) {
    RequestArrived Event = m_Entry.request(Number);
    Event.m_NonIdempotent = true;
    Event.m_Key = "permit-7";
    m_Entry.send(Event);
  };
  const auto Wait = [this, Agent](int Minutes) {
    for (int Third = 0; Third < 3 * Minutes; ++Third) {
      m_Entry.advance(20s);
      m_Entry.receive(Agent, Heartbeat{1});
    }
  };
  Submit(1);
  Submit(2);
  BOOST_TEST((onlyAnswer(m_Entry).m_Reason == RefusalReason::RepeatedKey));
  m_Entry.finish(Agent, 1);
  m_Entry.take<AnswerRequest>();
  Wait(9);
  Submit(3);
  BOOST_TEST((onlyAnswer(m_Entry).m_Reason == RefusalReason::RepeatedKey));
  Wait(1);
  Submit(4);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
  m_Entry.receive(Agent, AgentStatus{AgentState::Draining, 1, 0});
  m_Entry.refuse(Agent, 2, RefusalReason::Draining);
  m_Entry.send(CancelRequested{RequestId{1, 4}});
  BOOST_TEST((onlyAnswer(m_Entry).m_Outcome == Outcome::NotRun));
  Submit(5);
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
