// Refusals before the start of work, and the reasons that callers receive.
#include "EntryHarness.h"
#include "entry/Admission.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// Reason with which the entry refuses an event; None when it accepts it.
template <class Event> RefusalReason refusal(EntryHarness &Entry, Event New) {
  Entry.send(New);
  const auto Requests = Entry.take<AnswerRequest>();
  const auto Jobs = Entry.take<AnswerJob>();
  for (const AnswerRequest &Each : Requests)
    BOOST_TEST((Each.m_Outcome == Outcome::NotRun));
  if (!Requests.empty())
    return Requests[0].m_Reason;
  return Jobs.empty() ? RefusalReason::None : Jobs[0].m_Reason;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryAdmission, EntryFixture)

// Guards against accepting work that cannot run or is not permitted to.
BOOST_AUTO_TEST_CASE(WorkThatCannotRunIsRefusedWithItsReason) {
  RequestArrived New = m_Entry.request(1);
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::NoEndpoint));
  m_Entry.connect("a", 1);
  New.m_Service = "bakery";
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::UnknownService));
  New = m_Entry.request(1);
  New.m_Team = "nobody";
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::UnknownTeam));
  New = m_Entry.request(1);
  New.m_Need.m_MilliCores = wholeCores(17);
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::SizeFitsNoEndpoint));
  New = m_Entry.request(1);
  New.m_Deadline = -1ms;
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::DeadlinePassed));
  BOOST_TEST((refusal(m_Entry, m_Entry.job(1, 0)) ==
              RefusalReason::SizeFitsNoEndpoint));
  BOOST_TEST((refusal(m_Entry, m_Entry.job(1, 201)) ==
              RefusalReason::SizeFitsNoEndpoint));
  m_Entry.adopt(2, "closed");
  BOOST_TEST(
      (refusal(m_Entry, m_Entry.request(1)) == RefusalReason::PresetRefuses));
  m_Entry.adopt(3);
  BOOST_TEST((refusal(m_Entry, m_Entry.request(1)) == RefusalReason::None));
  m_Entry.send(ShutdownRequested{});
  BOOST_TEST(
      (refusal(m_Entry, m_Entry.request(2)) == RefusalReason::ShuttingDown));
}

// Guards against unbounded queues.
BOOST_AUTO_TEST_CASE(FullQueueRefuses) {
  m_Entry.connect("a", 1);
  for (std::uint64_t Number = 1; Number <= 5; ++Number)
    BOOST_TEST(
        (refusal(m_Entry, m_Entry.job(Number, 200)) == RefusalReason::None));
  BOOST_TEST(
      (refusal(m_Entry, m_Entry.job(6, 200)) == RefusalReason::QueueFull));
  BOOST_TEST(m_Entry.status().m_Queued == 999U);
  BOOST_TEST((refusal(m_Entry, m_Entry.request(7)) == RefusalReason::None));
  BOOST_TEST(
      (refusal(m_Entry, m_Entry.request(8)) == RefusalReason::QueueFull));
}

// Guards against two submissions with one id, which a cancellation could not
// distinguish.
BOOST_AUTO_TEST_CASE(RequestIdInUseIsRefused) {
  const LinkId Agent = m_Entry.connect("a", 4);
  m_Entry.submit(1);
  RequestArrived Again = m_Entry.request(1);
  Again.m_Caller = CallerId{2};
  BOOST_TEST((refusal(m_Entry, Again) == RefusalReason::RepeatedKey));
  m_Entry.finish(Agent, 1);
  BOOST_TEST(m_Entry.take<AnswerRequest>().size() == 1U);
  BOOST_TEST((refusal(m_Entry, Again) == RefusalReason::None));
}

// Guards against teams that exceed their quota, against a quota that delays
// other teams, and against keeping the key of a refused request.
BOOST_AUTO_TEST_CASE(TeamBeyondItsQuotaIsRefused) {
  m_Entry.connect("a", 100);
  JobSubmitted New = m_Entry.job(1, 10);
  New.m_Team = "depot";
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::None));
  RequestArrived Beyond = m_Entry.request(2);
  Beyond.m_Team = "depot";
  Beyond.m_NonIdempotent = true;
  Beyond.m_Key = "refill-9";
  BOOST_TEST((refusal(m_Entry, Beyond) == RefusalReason::QuotaExceeded));
  RequestArrived Other = m_Entry.request(3);
  Other.m_Team = "quay";
  BOOST_TEST((refusal(m_Entry, Other) == RefusalReason::None));
  m_Entry.advance(5s);
  BOOST_TEST((refusal(m_Entry, Beyond) == RefusalReason::None));
}

// Guards against accepting work that cannot start before its deadline.
BOOST_AUTO_TEST_CASE(ExpectedWaitPastTheDeadlineRefuses) {
  const LinkId Agent = m_Entry.connect("a", 1);
  m_Entry.submit(1);
  m_Entry.finish(Agent, 1);
  m_Entry.take<AnswerRequest>();
  m_Entry.submitJob(2, 150);
  RequestArrived New = m_Entry.request(3);
  New.m_Deadline = 5ms;
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::None));
  for (std::uint64_t Number = 4; Number <= 53; ++Number)
    m_Entry.submit(Number);
  New = m_Entry.request(54);
  New.m_Deadline = 4s;
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::WaitPastDeadline));
  New.m_Deadline = 8s;
  BOOST_TEST((refusal(m_Entry, New) == RefusalReason::None));
}

// Guards against wait estimates that ignore queue turns, slots or other
// entries.
BOOST_AUTO_TEST_CASE(ExpectedWaitFollowsTurnsAndShare) {
  ServiceLoad Load;
  Load.m_WaitingRequests = 8;
  Load.m_WaitingJobs = 2;
  Load.m_WaitingJobTasks = 100;
  Load.m_Slots = 10;
  Load.m_Entries = 2;
  Load.m_RunTime = 100ms;
  BOOST_TEST(expectedWait(SubmissionKind::Request, 1, Load).count() == 200000);
  BOOST_TEST(expectedWait(SubmissionKind::Job, 4, Load).count() == 400000);
  BOOST_TEST(expectedWait(SubmissionKind::Job, 1, ServiceLoad()).count() == 0);
}

// Guards against a log line for each refusal under overload.
BOOST_AUTO_TEST_CASE(RefusalsAreLoggedOncePerSecond) {
  for (std::uint64_t Number = 1; Number <= 500; ++Number)
    m_Entry.submit(Number);
  m_Entry.take<LogDecision>();
  m_Entry.advance(1s);
  const auto Lines = m_Entry.take<LogDecision>();
  BOOST_REQUIRE(Lines.size() == 1U);
  BOOST_TEST(Lines[0].m_Event == "work-refused");
  BOOST_TEST(Lines[0].m_Fields[1].m_Value == "500");
}

BOOST_AUTO_TEST_SUITE_END()
