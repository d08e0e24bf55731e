// Refusals for want of a slot, with the router's wait before it tries again.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// The router tries a busy agent again after at most 1.6 s.
constexpr Duration RouterWait = 2s;

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryCore, EntryCase)

// Guards against tasks that lose their place when an agent had no free slot.
BOOST_AUTO_TEST_CASE(TaskRefusedForWantOfASlotIsTriedFirst) {
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

// Guards against a task that is sent to a full agent without end or at a high
// rate, and against an answer that leaves open whether it ran.
BOOST_AUTO_TEST_CASE(TaskThatMeetsOnlyFullAgentsIsAnsweredNotRunAtItsDeadline) {
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
  // 60 s over the wait of 1.6 s, and four shorter waits at the start.
  BOOST_TEST(Last >= 16U);
  BOOST_TEST(Last <= 42U);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
}

BOOST_AUTO_TEST_SUITE_END()
