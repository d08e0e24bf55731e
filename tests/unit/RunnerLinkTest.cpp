// Tests the links between an agent and its entries: leases of entries, delayed
// messages, and what is reported on a new link.
#include "ConnectedRunner.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(RunnerLinks, ConnectedRunner)

// Guards against runs that continue for an entry that has lost their callers.
BOOST_AUTO_TEST_CASE(RunsAreStoppedWhenTheLeaseOfTheirEntryExpires) {
  startAndAnswer(runNamed(0));
  feed(LinkClosed{Link});
  clearCommands();
  runFor(590ms);
  BOOST_TEST(commands<CallStop>().empty());
  runFor(20ms);
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against stopping the runs of an entry that extends its lease in time.
BOOST_AUTO_TEST_CASE(LeasesOfTheEntryKeepItsRuns) {
  startAndAnswer(runNamed(0));
  for (int Round = 0; Round < 10; ++Round) {
    advance(200ms);
    sendLease();
  }
  BOOST_TEST(commands<CallStop>().empty());
}

// Guards against extending a lease by a message that was buffered while the
// host was suspended.
BOOST_AUTO_TEST_CASE(ADelayedLeaseMessageExtendsNothing) {
  startAndAnswer(runNamed(0));
  const TimePoint SentAt = now() + 100ms;
  advance(5s);
  clearCommands();
  feed(MessageReceived{Link, EntryLease{SentAt}});
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against starting a task after its entry has assigned it to another
// agent.
BOOST_AUTO_TEST_CASE(ADelayedStartIsRefused) {
  const TimePoint SentAt = now();
  advance(1s);
  feed(MessageReceived{
      Link,
      StartTask{
          runNamed(0), generation(), {1000, 1, 0}, SentAt, {}, {}, nullptr}});
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Late));
}

// Guards against a second run of a task: a partition held up the first messages
// of a new link until the entry had started the task elsewhere. Measured
// against each other, these messages are not late.
BOOST_AUTO_TEST_CASE(AStartBehindADelayedHelloIsRefused) {
  feed(LinkClosed{Link});
  feed(RunnerLinkOpened{LinkId{8}, "127.0.0.1:80"});
  const TimePoint SentAt = now();
  advance(2s);
  clearCommands();
  EntryHello Hello;
  Hello.m_Incarnation = Entry;
  Hello.m_SentAt = SentAt;
  feed(MessageReceived{LinkId{8}, Hello});
  feed(MessageReceived{LinkId{8}, StartTask{runNamed(0),
                                            generation(),
                                            {1000, 1, 0},
                                            SentAt + 50ms,
                                            {},
                                            {},
                                            nullptr}});
  BOOST_TEST((onlyEnd().m_Refusal == StartRefusal::Late));
  // A quick answer to a ping makes the link usable.
  const auto Pings = messages<Ping>();
  BOOST_REQUIRE(Pings.size() == 1);
  clearCommands();
  advance(5ms);
  feed(MessageReceived{LinkId{8}, Pong{Pings[0].m_Number}});
  sendLease(LinkId{8});
  feed(MessageReceived{
      LinkId{8},
      StartTask{
          runNamed(0, 2), generation(), {1000, 1, 0}, now(), {}, {}, nullptr}});
  BOOST_TEST(commands<CallStart>().size() == 1U);
}

// Guards against runs of an earlier entry process whose results no caller
// awaits.
BOOST_AUTO_TEST_CASE(ARestartedEntryStopsTheRunsOfItsEarlierProcess) {
  startAndAnswer(runNamed(0));
  feed(LinkClosed{Link});
  openLink(LinkId{8}, Incarnation{71});
  BOOST_TEST(commands<CallStop>().size() == 1U);
}

// Guards against a fleet in which every agent reports each change of its load
// to every entry, so that the reports take most of an entry's processor time.
BOOST_AUTO_TEST_CASE(LoadReportsKeepTheIntervalThatTheEntrySets) {
  constexpr LinkId Other{8};
  feed(RunnerLinkOpened{Other, "127.0.0.2:80"});
  EntryHello Hello;
  Hello.m_Incarnation = Incarnation{71};
  Hello.m_SentAt = now();
  feed(MessageReceived{Other, Hello});
  feed(MessageReceived{Other, EntryLease{now(), 100ms}});
  clearCommands();
  for (std::uint32_t Index = 0; Index < 200; ++Index) {
    startTask(runNamed(Index));
    answerStart(runNamed(Index));
    runFor(4ms);
    answerHold({}, {{Index + 1, runNamed(Index), RunEnd::Done}});
  }
  std::size_t ToOther = 0;
  for (const SendMessage &Each : commands<SendMessage>())
    ToOther += Each.m_Link == Other ? 1 : 0;
  BOOST_TEST(ToOther >= 9U);
  BOOST_TEST(ToOther <= 11U);
}

// Guards against an entry that suspects a healthy agent: it has sent a start
// and is not told of it, because it asked for few reports.
BOOST_AUTO_TEST_CASE(AStartIsConfirmedSoonWhateverTheReportInterval) {
  feed(MessageReceived{Link, EntryLease{now(), 400ms}});
  clearCommands();
  startTask(runNamed(0));
  runFor(20ms);
  BOOST_TEST(messages<LoadReport>().size() == 1U);
}

// Guards against abandoning a run although only its connection was lost.
BOOST_AUTO_TEST_CASE(TheHelloOnANewLinkListsHeldAndEndedRuns) {
  startAndAnswer(runNamed(0));
  startAndAnswer(runNamed(1));
  feed(LinkClosed{Link});
  answerHold({runNamed(1)}, {{1, runNamed(0), RunEnd::Done}});
  clearCommands();
  feed(RunnerLinkOpened{LinkId{8}, "127.0.0.1:80"});
  const auto Hellos = messages<RunnerHello>();
  BOOST_REQUIRE(Hellos.size() == 1);
  BOOST_TEST((Hellos[0].m_Held == std::vector<RunName>{runNamed(1)}));
  BOOST_REQUIRE(Hellos[0].m_Ended.size() == 1);
  BOOST_TEST((Hellos[0].m_Ended[0].m_Run == runNamed(0)));
}

// Guards against an entry that can't tell a hello that was held up from that of
// a later link, whichever entry it leads to.
BOOST_AUTO_TEST_CASE(LaterLinksHaveHigherNumbers) {
  feed(RunnerLinkOpened{LinkId{8}, "127.0.0.1:80"});
  feed(RunnerLinkOpened{LinkId{9}, "127.0.0.1:81"});
  feed(LinkClosed{LinkId{8}});
  feed(RunnerLinkOpened{LinkId{10}, "127.0.0.1:80"});
  const auto Hellos = messages<RunnerHello>();
  BOOST_REQUIRE(Hellos.size() == 3);
  BOOST_TEST((Hellos[0].m_Link < Hellos[1].m_Link));
  BOOST_TEST((Hellos[1].m_Link < Hellos[2].m_Link));
}

// Guards against a job whose caller gets no answer although its work is done: a
// run that ends after the agent's hello and before the entry's is in neither
// list of the hello.
BOOST_AUTO_TEST_CASE(AnEndBetweenTheTwoHellosIsReported) {
  startAndAnswer(runNamed(0));
  feed(LinkClosed{Link});
  constexpr LinkId Next{8};
  feed(RunnerLinkOpened{Next, "127.0.0.1:80"});
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  BOOST_TEST(messages<TaskEnded>().empty());
  answerHello(Next, Entry);
  BOOST_TEST((onlyEnd().m_Run == runNamed(0)));
}

// Guards against an end that is taken for that of another run: a restarted
// entry gives its runs the same names as its earlier process.
BOOST_AUTO_TEST_CASE(AnEndBetweenTheTwoHellosIsNotReportedToARestartedEntry) {
  startAndAnswer(runNamed(0));
  feed(LinkClosed{Link});
  constexpr LinkId Next{8};
  feed(RunnerLinkOpened{Next, "127.0.0.1:80"});
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  answerHello(Next, Incarnation{71});
  BOOST_TEST(messages<TaskEnded>().empty());
}

// Guards against ends that are sent twice on one link.
BOOST_AUTO_TEST_CASE(EndsInTheHelloAreNotReportedAgainAfterIt) {
  startAndAnswer(runNamed(0));
  feed(LinkClosed{Link});
  answerHold({}, {{1, runNamed(0), RunEnd::Done}});
  openLink(LinkId{8});
  BOOST_TEST(messages<TaskEnded>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
