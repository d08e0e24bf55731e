// Refusals due to a missing free slot, and the router's backoff before it tries
// the agent again.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// Exceeds the router's maximum backoff for a busy agent, 1.6 s.
constexpr Duration RouterWait = 2s;

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryCore, EntryFixture)

// Guards against tasks that lose their queue position after a refusal due to a
// missing free slot.
BOOST_AUTO_TEST_CASE(TaskRefusedForMissingSlotIsTriedFirst) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  m_Entry.submit(2);
  BOOST_REQUIRE(m_Entry.dispatches(Agent).size() == 1U);
  m_Entry.refuse(Agent, 1);
  m_Entry.advance(RouterWait);
  const auto Again = m_Entry.dispatches(Agent);
  BOOST_REQUIRE(Again.size() == 1U);
  BOOST_TEST((Again[0].m_Request == RequestId{1, 1}));
  BOOST_TEST(Again[0].m_Sequence == 2U);
}

// Guards against dispatching a task to a full agent endlessly or at a high
// rate, and against an answer that does not state that the task was not run.
BOOST_AUTO_TEST_CASE(TaskRefusedByFullAgentsIsAnsweredNotRunAtItsDeadline) {
  const LinkId Agent = m_Entry.connect("a", 1);
  RequestArrived Request = m_Entry.request(1);
  Request.m_Deadline = 60s;
  m_Entry.send(Request);
  Sequence Last = 0;
  for (int Second = 0; Second < 60; ++Second) {
    BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
    for (const Dispatch &Each : m_Entry.dispatches(Agent))
      m_Entry.refuse(Agent, Last = Each.m_Sequence);
    m_Entry.advance(1s);
  }
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::NotRun));
  // 60 s divided by the maximum backoff of 1.6 s, plus four shorter backoffs at
  // the start.
  BOOST_TEST(Last >= 16U);
  BOOST_TEST(Last <= 42U);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
}

BOOST_AUTO_TEST_SUITE_END()
