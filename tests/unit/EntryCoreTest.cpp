// Requests and jobs from arrival to answer.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(EntryCore)

// Guards against answers that reach the wrong caller or lose their body.
BOOST_AUTO_TEST_CASE(RequestGetsTheResultOfItsOwnTask) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 2);
  Entry.submit(1);
  Entry.submit(2);
  const auto Sent = Entry.dispatches(Agent);
  BOOST_REQUIRE(Sent.size() == 2U);
  BOOST_TEST(bytesOf(Sent[1].m_Body) == "request 2");
  Entry.finish(Agent, Sent[1].m_Sequence);
  const auto Answers = Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Caller == CallerId{2}));
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Completed));
  BOOST_TEST(Answers[0].m_HttpStatus == 200);
  BOOST_TEST(bytesOf(Answers[0].m_Body) == "answer 2");
}

// Guards against partial job answers and answers in the order of completion.
BOOST_AUTO_TEST_CASE(JobAnswersOnceWithAllTasksInOrder) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 3);
  Entry.submitJob(1, 3);
  const auto Sent = Entry.dispatches(Agent);
  BOOST_REQUIRE(Sent.size() == 3U);
  Entry.finish(Agent, 3);
  Entry.finish(Agent, 1);
  BOOST_TEST(Entry.take<AnswerJob>().empty());
  Entry.finish(Agent, 2);
  const auto Answers = Entry.take<AnswerJob>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_REQUIRE(Answers[0].m_Tasks.size() == 3U);
  for (const Dispatch &Each : Sent)
    BOOST_TEST(bytesOf(Answers[0].m_Tasks[Each.m_TaskIndex].m_Body) ==
               "answer " + std::to_string(Each.m_Sequence));
}

// Guards against refused tasks that lose their place or are not sent again.
BOOST_AUTO_TEST_CASE(RefusedTaskReturnsToTheHeadOfTheQueue) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 1);
  Entry.submit(1);
  Entry.submit(2);
  BOOST_REQUIRE(Entry.dispatches(Agent).size() == 1U);
  Entry.refuse(Agent, 1);
  // The router tries a busy agent again after at most 1.6 s.
  Entry.advance(2s);
  const auto Again = Entry.dispatches(Agent);
  BOOST_REQUIRE(Again.size() == 1U);
  BOOST_TEST((Again[0].m_Request == RequestId{1, 1}));
  BOOST_TEST(Again[0].m_Sequence == 2U);
}

// Guards against a task that is sent and refused without end.
BOOST_AUTO_TEST_CASE(TaskRefusedTooOftenIsAnsweredNotRun) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 1);
  RequestArrived Request = Entry.request(1);
  Request.m_Deadline = 60s;
  Entry.send(Request);
  for (Sequence Number = 1; Number <= 16; ++Number) {
    BOOST_TEST(Entry.take<AnswerRequest>().empty());
    // The router tries a busy agent again after at most 1.6 s.
    Entry.advance(2s);
    BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
    Entry.refuse(Agent, Number);
  }
  const auto Answers = Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::NotRun));
  BOOST_TEST((Answers[0].m_Reason == RefusalReason::NoSlot));
}

BOOST_AUTO_TEST_SUITE_END()
