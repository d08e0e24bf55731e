// Retries of requests that failed at an endpoint.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

namespace {

struct TwoAgents {
  TwoAgents() : m_A(m_Entry.connect("a")), m_B(m_Entry.connect("b")) {}

  /// Fails the only dispatch and returns the link of its agent.
  LinkId failFirst() {
    auto Sent = m_Entry.dispatches(m_A);
    const LinkId To = Sent.empty() ? m_B : m_A;
    if (Sent.empty())
      Sent = m_Entry.dispatches(m_B);
    BOOST_REQUIRE(Sent.size() == 1U);
    m_Entry.finish(To, Sent[0].m_Sequence, Outcome::Failed);
    return To;
  }

  LinkId other(LinkId Link) const { return Link == m_A ? m_B : m_A; }

  EntryHarness m_Entry;
  LinkId m_A;
  LinkId m_B;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryRetries, TwoAgents)

// Guards against failing a request at a faulty agent while another agent could
// run it.
BOOST_AUTO_TEST_CASE(FailedIdempotentRequestRunsAtAnotherAgent) {
  m_Entry.submit(1);
  const LinkId First = failFirst();
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
  const auto Again = m_Entry.dispatches(other(First));
  BOOST_REQUIRE(Again.size() == 1U);
  m_Entry.finish(other(First), Again[0].m_Sequence);
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Completed));
}

// Guards against a second run of non-idempotent work.
BOOST_AUTO_TEST_CASE(FailedNonIdempotentRequestIsAnsweredFailed) {
  m_Entry.submit(1, true);
  const LinkId First = failFirst();
  BOOST_TEST(m_Entry.dispatches(other(First)).empty());
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Failed));
}

// Guards against retries at the agent that has just failed the request.
BOOST_AUTO_TEST_CASE(FailedRequestIsNotRetriedAtTheSameAgent) {
  m_Entry.close(m_B);
  m_Entry.submit(1);
  const LinkId First = failFirst();
  BOOST_TEST(m_Entry.dispatches(First).empty());
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Failed));
}

BOOST_AUTO_TEST_SUITE_END()
