// Evacuated failure domains: what the operators' records mean, agents that
// refuse starts, and entries that place work elsewhere or refuse it.
#include "ConnectedRunner.h"
#include "JobHarness.h"

#include "jobs/EvacuationTracker.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

const EvacuationView None{5, {}};
const EvacuationView Quimper{7, {"quimper"}};
const EvacuationView Restored{9, {}};

std::string describeView(const std::optional<EvacuationView> &View) {
  return View ? std::to_string(View->m_Offset) + ":" + describe(*View) : "-";
}

/// An entry with one agent in each of two domains.
struct TwoDomains : JobHarness {
  TwoDomains() {
    connectAgent(1);
    m_FailureDomain = "brest";
    connectAgent(2);
    runFor(1100ms);
    reportLoad(1);
    reportLoad(2);
  }
  void read(const EvacuationView &View) { feed(EvacuationsRead{View}); }
};

constexpr LinkId Other{8};

/// An agent in the domain "quimper" that has met one entry.
struct Agent : ConnectedRunner {
  Agent() {
    EndpointHeartbeat Beat = heartbeat(1000, 2);
    Beat.m_View.m_FailureDomain = "quimper";
    feed(Beat);
    clearCommands();
  }
  /// Links the agent with a second entry.
  void meetOther() {
    feed(RunnerLinkOpened{Other, "127.0.0.2:80"});
    answerHello(Other, Incarnation{71});
  }
  void report(const EvacuationView &View, LinkId From = Link) {
    feed(MessageReceived{From, EvacuationReport{View}});
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Evacuation)

// Guards against a restoration that is lost with its record, a replayed record
// that undoes a later one, and two different views with one offset.
BOOST_AUTO_TEST_CASE(AViewIncludesExactlyTheRequestsBeforeItsOffset) {
  EvacuationTracker Tracker;
  BOOST_TEST(describeView(Tracker.advance(0)) == "-");
  Tracker.apply("quimper", true, 2);
  BOOST_TEST(describeView(Tracker.advance(3)) == "3:quimper");
  // Records that are no request.
  BOOST_TEST(describeView(Tracker.advance(5)) == "-");
  // Asked for again: the view is newer than one that includes a restoration
  // between the two.
  Tracker.apply("quimper", true, 6);
  BOOST_TEST(describeView(Tracker.advance(7)) == "7:quimper");
  // Replayed.
  Tracker.apply("quimper", false, 4);
  BOOST_TEST(describeView(Tracker.advance(8)) == "-");
  // Found in a list of newest records that was read for offset 9.
  Tracker.apply("brest", true, 10);
  BOOST_TEST(describeView(Tracker.advance(9)) == "-");
  Tracker.apply("quimper", false, 9);
  BOOST_TEST(describeView(Tracker.advance(11)) == "11:brest");
  Tracker.apply("brest", false, 20);
  BOOST_TEST(describeView(Tracker.advance(21)) == "21:none");
}

// Guards against starts at an endpoint whose domain is evacuated, and against
// one that is restored and stays out of use.
BOOST_FIXTURE_TEST_CASE(AnAgentAcceptsNoRunsWhileItsDomainIsEvacuated, Agent) {
  startAndAnswer(runNamed(0));
  report(Quimper);
  BOOST_REQUIRE(messages<EndpointReport>().size() == 1U);
  BOOST_TEST((messages<EndpointReport>()[0].m_Endpoint.m_State ==
              EndpointState::Evacuated));
  clearCommands();
  startTask(runNamed(1));
  BOOST_TEST(commands<CallStart>().empty());
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Evacuated));
  // What runs there goes on.
  BOOST_TEST(commands<CallStop>().empty());
  clearCommands();
  report(Restored);
  startTask(runNamed(1, 2));
  BOOST_TEST(commands<CallStart>().size() == 1U);
}

// Guards against a run that was accepted before and is started after.
BOOST_FIXTURE_TEST_CASE(RunsThatWaitAtAnEvacuatedEndpointAreRefused, Agent) {
  startAndAnswer(runNamed(0), 10);
  startTask(runNamed(1));
  clearCommands();
  report(Quimper);
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Evacuated));
}

// Guards against an entry cut off from the store whose older view undoes a
// newer one, and against one that is not told.
BOOST_FIXTURE_TEST_CASE(AnOlderViewNeverUndoesANewerOne, Agent) {
  meetOther();
  report(Quimper);
  report(None, Other);
  BOOST_REQUIRE(messages<EvacuationReport>().size() == 1U);
  BOOST_TEST(messages<EvacuationReport>()[0].m_View.m_Offset == 7U);
  startTask(runNamed(1));
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Evacuated));
  // A restoration that overtakes its evacuation.
  report(Restored);
  report(Quimper, Other);
  clearCommands();
  startTask(runNamed(1, 2));
  BOOST_TEST(commands<CallStart>().size() == 1U);
}

// Guards against an entry that was started while the store was down and never
// learns of an evacuation, and against telling those that know it.
BOOST_FIXTURE_TEST_CASE(AnEntryThatKnowsLessIsToldWithItsNextLease, Agent) {
  meetOther();
  report(Quimper);
  clearCommands();
  sendLease();
  BOOST_TEST(messages<EvacuationReport>().empty());
  sendLease(Other);
  sendLease(Other);
  const auto Sent = commands<SendMessage>();
  BOOST_TEST(messages<EvacuationReport>().size() == 1U);
  BOOST_TEST((Sent.back().m_Link == Other));
}

// Guards against work that is placed in an evacuated domain, and against a
// start on its way there that counts as a failed attempt.
BOOST_FIXTURE_TEST_CASE(RefusedStartsArePlacedInAnotherDomain, TwoDomains) {
  m_Policy.m_MaxAttempts = 1;
  feed(offer(1, 4));
  BOOST_REQUIRE(runsAt(1).size() == 2U);
  clearCommands();
  read(Quimper);
  BOOST_TEST(messagesTo<EvacuationReport>(1).size() == 1U);
  for (const RunName &Each : runsAt(1))
    endRun(1, Each, RunEnd::NotStarted, StartRefusal::Evacuated);
  BOOST_TEST(runsAt(1).empty());
  BOOST_TEST(runsAt(2).size() == 4U);
  endAll();
  BOOST_REQUIRE(answers().size() == 1U);
  BOOST_TEST((answers()[0].m_Outcome == JobOutcome::Completed));
  BOOST_TEST(core().status().m_EvacuatedEndpoints == 1U);
  read(Restored);
  feed(offer(2, 4));
  BOOST_TEST(runsAt(1).size() == 2U);
}

// Guards against an agent that starts again, or meets an entry for the first
// time, and takes runs before it knows.
BOOST_FIXTURE_TEST_CASE(AnAgentIsToldInTheFrameOfTheHello, TwoDomains) {
  read(Quimper);
  clearCommands();
  m_FailureDomain = "quimper";
  connectAgent(1, 10, Incarnation{2});
  BOOST_TEST(messagesTo<EvacuationReport>(1).size() == 1U);
  feed(offer(1, 4));
  BOOST_TEST(runsAt(1).empty());
}

// Guards against an entry without the store that keeps placing work, or keeps
// what it has learned from other agents to itself.
BOOST_FIXTURE_TEST_CASE(AnEntryLearnsFromAnAgentAndTellsTheOthers, TwoDomains) {
  clearCommands();
  feed(MessageReceived{LinkId{2}, EvacuationReport{Quimper}});
  BOOST_TEST(messagesTo<EvacuationReport>(1).size() == 1U);
  feed(offer(1, 4));
  BOOST_TEST(runsAt(1).empty());
  feed(MessageReceived{LinkId{2}, EvacuationReport{None}});
  feed(offer(2, 4));
  BOOST_TEST(runsAt(1).empty());
}

// Guards against callers who wait for their deadline although it is known that
// nothing can serve them.
BOOST_FIXTURE_TEST_CASE(WithAllDomainsEvacuatedJobsAreRefusedAtOnce,
                        TwoDomains) {
  feed(offer(1, 20));
  feed(offer(2, 4));
  clearCommands();
  read({8, {"brest", "quimper"}});
  feed(offer(3, 1));
  BOOST_REQUIRE(answers().size() == 2U);
  for (const JobAnswer &Each : answers()) {
    BOOST_TEST((Each.m_Outcome == JobOutcome::NotRun));
    BOOST_TEST(Each.m_Reason == "all endpoints that can hold a task are "
                                "evacuated");
    BOOST_TEST((Each.m_RetryAfter >= 1s));
  }
  // Runs in progress end normally.
  endAll();
  BOOST_REQUIRE(answers().size() == 3U);
  BOOST_TEST((answers()[2].m_Outcome == JobOutcome::Completed));
}

// Guards against jobs that are accepted at the rate at which the evacuated
// domain has served them, and then wait in vain.
BOOST_FIXTURE_TEST_CASE(AdmissionKnowsAtOnceThatTheCapacityIsGone, TwoDomains) {
  // The rate of starts before: 20 cores in use, of which 10 remain.
  feed(offer(1, 20, 200ms));
  feed(offer(2, 10, 200ms));
  const auto IsAccepted = [this](std::uint64_t Job) {
    const std::size_t Before = answers().size();
    feed(offer(Job, 1, 400ms));
    return answers().size() == Before;
  };
  BOOST_TEST(IsAccepted(3));
  read(Quimper);
  BOOST_TEST(!IsAccepted(4));
}

BOOST_AUTO_TEST_SUITE_END()
