// Stops of runs that no job needs any more: one that is lost with a link must
// be repeated, or the run continues beside the next run of its task.
#include "JobHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : JobHarness {
  static constexpr LinkId First{1};
  static constexpr LinkId Second{2};
  static constexpr Incarnation Entry{70};

  /// Agent 1 opens its second link and lists \p Held.
  void reconnect(std::vector<RunName> Held) {
    RunnerHello Hello = hello(1, 10, Incarnation{1});
    Hello.m_Entry = Entry;
    Hello.m_Held = std::move(Held);
    feed(RunnerConnected{Second, Hello});
  }

  std::vector<RunName> stoppedOnSecondLink() const {
    std::vector<RunName> Names;
    for (const StopRun &Each : messagesTo<StopRun>(2))
      Names.push_back(Each.m_Run);
    return Names;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobStops, Fixture)

// Guards against two runs of a task: an agent that knows the entry at a second
// address does not list the runs that it holds for the first one, and its links
// replace each other for as long as both addresses work.
BOOST_AUTO_TEST_CASE(ASecondLinkOfAnAgentDoesNotReplaceTheFirst) {
  connectAgent(1);
  feed(offer(1, 2));
  const std::vector<RunName> Runs = runsAt(1);
  clearCommands();
  feed(RunnerConnected{Second, hello(1, 10, Incarnation{1})});
  const auto Closed = commands<CloseLink>();
  BOOST_REQUIRE(Closed.size() == 1U);
  BOOST_TEST((Closed[0].m_Link == Second));
  BOOST_TEST(messagesTo<StartTask>(1).empty());
  BOOST_TEST(commands<SendMessage>().empty());
  for (const RunName &Each : Runs)
    endRun(1, Each);
  BOOST_REQUIRE(answers().size() == 1U);
  BOOST_TEST((answers()[0].m_Outcome == JobOutcome::Completed));
}

// Guards against the same when the first link is lost: the agent goes on with
// its runs until their leases expire.
BOOST_AUTO_TEST_CASE(ALinkFromAnotherAddressWaitsForTheLeasesOfTheFirst) {
  connectAgent(1);
  feed(offer(1, 1, 1s));
  feed(LinkClosed{First});
  clearCommands();
  feed(RunnerConnected{Second, hello(1, 10, Incarnation{1})});
  BOOST_TEST(commands<CloseLink>().size() == 1U);
  BOOST_TEST(messagesTo<StartTask>(2).empty());
  runFor(1800ms);
  clearCommands();
  feed(RunnerConnected{LinkId{3}, hello(1, 10, Incarnation{1})});
  BOOST_TEST(commands<CloseLink>().empty());
  BOOST_TEST(messagesTo<StartTask>(3).size() == 1U);
}

// Guards against two runs of a task at the same time: the caller's connection
// and the link to the agent were reset together, so the caller sends its job to
// another entry while the stop was lost.
BOOST_AUTO_TEST_CASE(AStopThatWasLostWithItsLinkIsRepeatedOnTheNextOne) {
  connectAgent(1);
  const JobOffered Offer = offer(1, 2);
  feed(Offer);
  const std::vector<RunName> Runs = runsAt(1);
  feed(CallerDisconnected{Offer.m_Caller});
  feed(LinkClosed{First});
  reconnect(Runs);
  BOOST_TEST((stoppedOnSecondLink() == Runs));
}

// Guards against a cancelled job that continues because its agent was out of
// reach when it was cancelled.
BOOST_AUTO_TEST_CASE(
    ARunWhoseJobWasCancelledWithoutALinkIsStoppedOnTheNextOne) {
  connectAgent(1);
  feed(offer(1, 1));
  const std::vector<RunName> Runs = runsAt(1);
  feed(LinkClosed{First});
  feed(JobCancelled{CallerId{99}, JobId{1}});
  reconnect(Runs);
  BOOST_TEST((stoppedOnSecondLink() == Runs));
}

// Guards against a stalled run that keeps its task for good because the stop
// for it was lost: the task would never run elsewhere.
BOOST_AUTO_TEST_CASE(ALostStopOfAStalledRunIsRepeatedOnTheNextLink) {
  connectAgent(1);
  feed(offer(1, 1, 100ms));
  const std::vector<RunName> Runs = runsAt(1);
  while (messagesTo<StopRun>(1).empty()) {
    runFor(50ms);
    reportLoad(1);
  }
  feed(LinkClosed{First});
  reconnect(Runs);
  BOOST_TEST((stoppedOnSecondLink() == Runs));
}

// Guards against a run that this entry has already counted as ended, whose task
// may run elsewhere.
BOOST_AUTO_TEST_CASE(AHeldRunThatTheEntryDoesNotKnowIsStopped) {
  connectAgent(1);
  feed(LinkClosed{First});
  const RunName Unknown{TaskName{JobId{9}, 0, 0}, 1};
  reconnect({Unknown});
  BOOST_TEST((stoppedOnSecondLink() == std::vector<RunName>{Unknown}));
}

// Guards against ending work that is still wanted when a link is only reset.
BOOST_AUTO_TEST_CASE(HeldRunsOfAnUnansweredJobContinue) {
  connectAgent(1);
  feed(offer(1, 2));
  feed(LinkClosed{First});
  reconnect(runsAt(1));
  BOOST_TEST(stoppedOnSecondLink().empty());
  BOOST_TEST(messagesTo<StartTask>(2).empty());
}

BOOST_AUTO_TEST_SUITE_END()
