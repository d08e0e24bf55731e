// Which agents get work: hellos, silence, leaving, shared addresses.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(EntryAgents)

// Guards against messages before the entry's hello, which agents reject.
BOOST_AUTO_TEST_CASE(HelloIsAnsweredFirstAndFollowedByTheView) {
  EntryHarness Entry;
  Entry.take<SendMessage>();
  Entry.connect("a");
  const auto Sent = Entry.take<SendMessage>();
  BOOST_REQUIRE(Sent.size() == 2U);
  BOOST_TEST(std::holds_alternative<EntryHello>(Sent[0].m_Message));
  BOOST_TEST(std::holds_alternative<ConfigView>(Sent[1].m_Message));
}

// Guards against processes of different releases that misread each other.
BOOST_AUTO_TEST_CASE(OtherProtocolVersionIsRejectedWithBothVersions) {
  EntryHarness Entry;
  AgentHello Hello = EntryHarness::hello("a");
  Hello.m_Protocol = 9;
  Entry.connect(Hello);
  const auto Closed = Entry.take<CloseLink>();
  BOOST_REQUIRE(Closed.size() == 1U);
  BOOST_TEST(Closed[0].m_Reason.find('9') != std::string::npos);
  BOOST_TEST(Closed[0].m_Reason.find('1') != std::string::npos);
  BOOST_TEST(Entry.status().m_Agents == 0U);
}

// Guards against a frozen agent that keeps getting work, and against one that
// stays excluded after it has resumed.
BOOST_AUTO_TEST_CASE(SilentAgentIsPingedSuspectedAndReadmitted) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 3);
  Entry.submit(1);
  Entry.advance(999ms);
  BOOST_TEST(Entry.sent<Ping>(Agent).empty());
  Entry.advance(1ms);
  BOOST_TEST(Entry.sent<Ping>(Agent).size() == 1U);
  Entry.submit(2);
  BOOST_TEST(Entry.dispatches(Agent).size() == 2U);
  Entry.advance(500ms);
  BOOST_TEST(Entry.logged("agent-suspected"));
  Entry.submit(3);
  BOOST_TEST(Entry.dispatches(Agent).empty());
  Entry.receive(Agent, Pong{1});
  BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
}

// Guards against needless pings, which are paid for as messages.
BOOST_AUTO_TEST_CASE(IdleOrTalkingAgentIsNotPinged) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 2);
  Entry.advance(15s);
  Entry.submit(1);
  Entry.submit(2);
  Entry.advance(800ms);
  Entry.finish(Agent, 1);
  Entry.advance(800ms);
  Entry.finish(Agent, 2);
  Entry.advance(10s);
  BOOST_TEST(Entry.sent<Ping>(Agent).empty());
}

// Guards against tasks that stay open until their deadline behind a cut network
// that sends no close.
BOOST_AUTO_TEST_CASE(LinkOfAnAgentThatStaysSilentIsClosed) {
  EntryHarness Entry;
  Entry.connect("a");
  RequestArrived Event = Entry.request(1);
  Event.m_NonIdempotent = true;
  Event.m_Deadline = 100s;
  Entry.send(Event);
  Entry.advance(20s);
  BOOST_TEST(Entry.take<CloseLink>().size() == 1U);
  const auto Answers = Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Unknown));
}

// Guards against dead idle links that go unnoticed, and against heartbeats on
// busy ones.
BOOST_AUTO_TEST_CASE(IdleLinkCarriesHeartbeatsAndIsClosedWithoutThem) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a");
  Entry.advance(19s);
  BOOST_TEST(Entry.sent<Heartbeat>(Agent).empty());
  Entry.advance(1s);
  BOOST_TEST(Entry.sent<Heartbeat>(Agent).size() == 1U);
  Entry.advance(30s);
  Entry.receive(Agent, Heartbeat{1});
  Entry.advance(60s);
  BOOST_TEST(Entry.take<CloseLink>().empty());
  Entry.advance(30s);
  BOOST_TEST(Entry.take<CloseLink>().size() == 1U);
  BOOST_TEST(Entry.status().m_Agents == 0U);
}

// Guards against two gates in front of one endpoint, which would exceed its
// slots.
BOOST_AUTO_TEST_CASE(LaterHelloWinsTheEndpointAddress) {
  EntryHarness Entry;
  AgentHello Hello = EntryHarness::hello("a", 4);
  const LinkId Earlier = Entry.connect(Hello);
  Hello.m_AgentId = "b";
  const LinkId Later = Entry.connect(Hello);
  for (std::uint64_t Number = 1; Number <= 4; ++Number)
    Entry.submit(Number);
  BOOST_TEST(Entry.dispatches(Earlier).empty());
  BOOST_TEST(Entry.dispatches(Later).size() == 4U);
  BOOST_TEST(Entry.logged("endpoint-claimed-twice"));
}

// Guards against new work for agents that are leaving, and against losing the
// work that they still run.
BOOST_AUTO_TEST_CASE(LeavingAgentGetsNoNewWorkButItsResultsCount) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 2);
  Entry.submit(1);
  Entry.receive(Agent, AgentStatus{AgentState::Leaving, 2, 1});
  Entry.submit(2);
  BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
  Entry.finish(Agent, 1);
  BOOST_TEST(Entry.take<AnswerRequest>().size() == 1U);
  Entry.receive(Agent, AgentStatus{AgentState::Active, 2, 0});
  BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
}

// Guards against endpoints that an agent announces after its first hello.
BOOST_AUTO_TEST_CASE(EndpointAnnouncedLaterGetsWork) {
  EntryHarness Entry;
  AgentHello Hello = EntryHarness::hello("a");
  Hello.m_Service.clear();
  Hello.m_EndpointAddress.clear();
  Hello.m_State = AgentState::Leaving;
  const LinkId Agent = Entry.connect(Hello);
  Entry.submit(1);
  BOOST_REQUIRE(Entry.take<AnswerRequest>().size() == 1U);
  Entry.receive(Agent, EntryHarness::hello("a"));
  Entry.submit(2);
  BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
}

// Guards against work in a failure domain that the operator drains.
BOOST_AUTO_TEST_CASE(DrainedFailureDomainGetsNoNewWork) {
  EntryHarness Entry;
  const LinkId Agent = Entry.connect("a", 2);
  Entry.adopt(2, "drained");
  Entry.submit(1);
  BOOST_TEST(Entry.dispatches(Agent).empty());
  Entry.adopt(3);
  BOOST_TEST(Entry.dispatches(Agent).size() == 1U);
  BOOST_TEST(Entry.sent<ConfigView>(Agent).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
