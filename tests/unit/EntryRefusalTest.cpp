// Refusals for want of a slot, with the router's wait before it tries again.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// The router tries a busy agent again after at most 1.6 s.
constexpr Duration RouterWait = 2s;

} // namespace

BOOST_AUTO_TEST_SUITE(EntryCore)

// Guards against tasks that lose their place when an agent had no free slot.
BOOST_AUTO_TEST_CASE(TaskRefusedForWantOfASlotIsTriedFirst) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 1);
  Entry.submit(1);
  Entry.submit(2);
  BOOST_REQUIRE(Entry.dispatches(Agent).size() == 1U);
  Entry.refuse(Agent, 1);
  Entry.advance(RouterWait);
  const auto Again = Entry.dispatches(Agent);
  BOOST_REQUIRE(Again.size() == 1U);
  BOOST_TEST((Again[0].m_Request == RequestId{1, 1}));
  BOOST_TEST(Again[0].m_Sequence == 2U);
}

// Guards against a task that is sent to a full agent without end.
BOOST_AUTO_TEST_CASE(TaskRefusedSixteenTimesIsAnsweredNotRun) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 1);
  RequestArrived Request = Entry.request(1);
  Request.m_Deadline = 60s;
  Entry.send(Request);
  for (Sequence Number = 1; Number <= 16; ++Number) {
    BOOST_TEST(Entry.take<AnswerRequest>().empty());
    Entry.advance(RouterWait);
    BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
    Entry.refuse(Agent, Number);
  }
  const auto Answers = Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::NotRun));
  BOOST_TEST((Answers[0].m_Reason == RefusalReason::NoSlot));
}

BOOST_AUTO_TEST_SUITE_END()
