// Hellos that the network has held up until their agent had opened another
// link: they list the runs of an earlier time.
#include "JobHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : JobHarness {
  static constexpr LinkId Old{2};
  static constexpr LinkId Present{1};
  static constexpr Incarnation Entry{70};
  static constexpr Incarnation Process{1};
  static constexpr Incarnation EarlierProcess{9};

  /// Agent 1 has an open link on which it gets the runs of a job; agent 2 could
  /// take them.
  Fixture() {
    feed(RunnerConnected{Present, helloOf(Process, 20)});
    feed(offer(1, 2, 1s));
    connectAgent(2);
    clearCommands();
  }

  RunnerHello helloOf(Incarnation Agent, std::uint64_t Link) const {
    RunnerHello Hello = hello(1, 10, Agent);
    Hello.m_Link = LinkNumber{Link};
    Hello.m_Entry = Entry;
    return Hello;
  }

  bool rejects(const RunnerHello &Hello) {
    clearCommands();
    feed(RunnerConnected{Old, Hello});
    const auto Closed = commands<CloseLink>();
    return Closed.size() == 1 && Closed[0].m_Link == Old;
  }

  bool startsNothing() const { return messagesTo<StartTask>(2).empty(); }

  void endRunsAndCheckAnswer() {
    for (const RunName &Each : runsAt(1))
      endRun(1, Each);
    BOOST_REQUIRE(answers().size() == 1U);
    BOOST_TEST((answers()[0].m_Outcome == JobOutcome::Completed));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobLinkOrder, Fixture)

// Guards against two runs of a task: the runs that the agent has started since
// are not in a hello of an earlier link (review case 13).
BOOST_AUTO_TEST_CASE(AHelloOfAnEarlierLinkDoesNotReplaceALaterOne) {
  BOOST_TEST(rejects(helloOf(Process, 19)));
  BOOST_TEST(startsNothing());
  endRunsAndCheckAnswer();
}

// Guards against the same while the later link is lost: its runs go on until
// their leases expire.
BOOST_AUTO_TEST_CASE(AHelloOfAnEarlierLinkIsRejectedAfterTheLossOfTheLaterOne) {
  feed(LinkClosed{Present});
  BOOST_TEST(rejects(helloOf(Process, 19)));
  BOOST_TEST(startsNothing());
  runFor(3s);
  BOOST_TEST(rejects(helloOf(Process, 19)));
}

// Guards against the same by an agent process that has ended: its last hello
// may arrive after the next process has connected.
BOOST_AUTO_TEST_CASE(AHelloOfAnEarlierProcessDoesNotReplaceItsSuccessor) {
  BOOST_TEST(rejects(helloOf(EarlierProcess, 19)));
  feed(LinkClosed{Present});
  BOOST_TEST(rejects(helloOf(EarlierProcess, 19)));
  BOOST_TEST(startsNothing());
}

// Guards against a delay when an agent really connects again or is restarted.
BOOST_AUTO_TEST_CASE(ALaterLinkReplacesTheEarlierOneAtOnce) {
  for (const Incarnation Agent : {Process, EarlierProcess}) {
    Fixture Harness;
    BOOST_TEST(!Harness.rejects(Harness.helloOf(Agent, 21)));
    BOOST_TEST(Harness.messagesTo<EntryHello>(2).size() == 1U);
  }
}

// Guards against an agent that stays excluded because its host's clock was set
// back before it was restarted.
BOOST_AUTO_TEST_CASE(ASuccessorWithAnEarlierNumberIsAcceptedAfterTheLeases) {
  feed(LinkClosed{Present});
  BOOST_TEST(rejects(helloOf(EarlierProcess, 3)));
  runFor(2s);
  BOOST_TEST(!rejects(helloOf(EarlierProcess, 3)));
  feed(LinkClosed{Old});
  BOOST_TEST(!rejects(helloOf(EarlierProcess, 4)));
}

BOOST_AUTO_TEST_SUITE_END()
