// Availability of agents: hellos, unresponsive and draining agents, shared
// addresses.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(EntryAgents, EntryFixture)

// Guards against messages sent before the entry's hello; agents reject these.
BOOST_AUTO_TEST_CASE(HelloIsAnsweredFirstAndFollowedByTheView) {
  m_Entry.take<SendMessage>();
  m_Entry.connect("a");
  const auto Sent = m_Entry.take<SendMessage>();
  BOOST_REQUIRE(Sent.size() == 2U);
  BOOST_TEST(std::holds_alternative<EntryHello>(Sent[0].m_Message));
  BOOST_TEST(std::holds_alternative<ConfigView>(Sent[1].m_Message));
}

// Guards against processes of different releases that misinterpret each other's
// messages.
BOOST_AUTO_TEST_CASE(OtherProtocolVersionIsRejectedWithBothVersions) {
  AgentHello Hello = EntryHarness::hello("a");
  Hello.m_Protocol = 9;
  m_Entry.connect(Hello);
  const auto Closed = m_Entry.take<CloseLink>();
  BOOST_REQUIRE(Closed.size() == 1U);
  BOOST_TEST(Closed[0].m_Reason.find('9') != std::string::npos);
  BOOST_TEST(Closed[0].m_Reason.find(std::to_string(ProtocolVersion)) !=
             std::string::npos);
  BOOST_TEST(m_Entry.status().m_Agents == 0U);
}

// Guards against tasks that are given up, or started again, because a hello
// that the network had held up replaces a link that was opened after it.
BOOST_AUTO_TEST_CASE(AHelloOfAnEarlierLinkDoesNotReplaceALaterOne) {
  AgentHello Later = EntryHarness::hello("a");
  Later.m_Link = LinkNumber{9};
  Later.m_WindowId = 2;
  const LinkId Present = m_Entry.connect(Later);
  m_Entry.submit(1, true);
  AgentHello HeldUp = Later;
  HeldUp.m_Link = LinkNumber{8};
  HeldUp.m_WindowId = 1;
  for (const Incarnation Process : {Later.m_Incarnation, Incarnation{4}}) {
    HeldUp.m_Incarnation = Process;
    const LinkId Old = m_Entry.connect(HeldUp);
    const auto Closed = m_Entry.take<CloseLink>();
    BOOST_REQUIRE(Closed.size() == 1U);
    BOOST_TEST((Closed[0].m_Link == Old));
    BOOST_TEST(m_Entry.logged("old-link-rejected"));
  }
  BOOST_TEST(m_Entry.take<AnswerRequest>().empty());
  m_Entry.finish(Present, 1);
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Completed));
}

// Guards against dispatching to an unresponsive agent, and against excluding an
// agent after it has resumed.
BOOST_AUTO_TEST_CASE(SilentAgentIsPingedSuspectedAndReadmitted) {
  const LinkId Agent = m_Entry.connect("a", 3);
  m_Entry.submit(1);
  m_Entry.advance(999ms);
  BOOST_TEST(m_Entry.sent<Ping>(Agent).empty());
  m_Entry.advance(1ms);
  BOOST_TEST(m_Entry.sent<Ping>(Agent).size() == 1U);
  m_Entry.submit(2);
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 2U);
  m_Entry.advance(500ms);
  BOOST_TEST(m_Entry.logged("agent-suspected"));
  m_Entry.submit(3);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
  m_Entry.receive(Agent, Pong{1});
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 1U);
}

// Guards against unnecessary pings, each of which costs a message.
BOOST_AUTO_TEST_CASE(IdleOrActiveAgentIsNotPinged) {
  const LinkId Agent = m_Entry.connect("a", 2);
  m_Entry.advance(15s);
  m_Entry.submit(1);
  m_Entry.submit(2);
  m_Entry.advance(800ms);
  m_Entry.finish(Agent, 1);
  m_Entry.advance(800ms);
  m_Entry.finish(Agent, 2);
  m_Entry.advance(10s);
  BOOST_TEST(m_Entry.sent<Ping>(Agent).empty());
}

// Guards against tasks that stay open until their deadline after a network
// partition, which sends no close.
BOOST_AUTO_TEST_CASE(LinkOfAnAgentThatStaysSilentIsClosed) {
  m_Entry.connect("a");
  RequestArrived Event = m_Entry.request(1);
  Event.m_NonIdempotent = true;
  Event.m_Deadline = 100s;
  m_Entry.send(Event);
  m_Entry.advance(20s);
  BOOST_TEST(m_Entry.take<CloseLink>().size() == 1U);
  const auto Answers = m_Entry.take<AnswerRequest>();
  BOOST_REQUIRE(Answers.size() == 1U);
  BOOST_TEST((Answers[0].m_Outcome == Outcome::Unknown));
}

// Guards against dead idle links that are not detected, and against heartbeats
// on busy ones.
BOOST_AUTO_TEST_CASE(IdleLinkCarriesHeartbeatsAndIsClosedWithoutThem) {
  const LinkId Agent = m_Entry.connect("a");
  m_Entry.advance(19s);
  BOOST_TEST(m_Entry.sent<Heartbeat>(Agent).empty());
  m_Entry.advance(1s);
  BOOST_TEST(m_Entry.sent<Heartbeat>(Agent).size() == 1U);
  m_Entry.advance(30s);
  m_Entry.receive(Agent, Heartbeat{1});
  m_Entry.advance(60s);
  BOOST_TEST(m_Entry.take<CloseLink>().empty());
  m_Entry.advance(30s);
  BOOST_TEST(m_Entry.take<CloseLink>().size() == 1U);
  BOOST_TEST(m_Entry.status().m_Agents == 0U);
}

// Guards against two agents that both dispatch to one endpoint and so exceed
// its slots.
BOOST_AUTO_TEST_CASE(LaterHelloTakesOverTheEndpointAddress) {
  AgentHello Hello = EntryHarness::hello("a", 4);
  const LinkId Earlier = m_Entry.connect(Hello);
  Hello.m_AgentId = "b";
  const LinkId Later = m_Entry.connect(Hello);
  for (std::uint64_t Number = 1; Number <= 4; ++Number)
    m_Entry.submit(Number);
  BOOST_TEST(m_Entry.dispatches(Earlier).empty());
  BOOST_TEST(m_Entry.dispatches(Later).size() == 4U);
  BOOST_TEST(m_Entry.logged("endpoint-claimed-twice"));
}

// Guards against new work for agents that are draining, and against losing the
// results of work that they still run.
BOOST_AUTO_TEST_CASE(DrainingAgentGetsNoNewWorkButItsResultsCount) {
  const LinkId Agent = m_Entry.connect("a", 2);
  m_Entry.submit(1);
  m_Entry.receive(Agent, AgentStatus{AgentState::Draining, 2, 1});
  m_Entry.submit(2);
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 1U);
  m_Entry.finish(Agent, 1);
  BOOST_TEST(m_Entry.take<AnswerRequest>().size() == 1U);
  m_Entry.receive(Agent, AgentStatus{AgentState::Active, 2, 0});
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 1U);
}

// Guards against ignoring an endpoint that an agent announces after its first
// hello.
BOOST_AUTO_TEST_CASE(EndpointAnnouncedLaterGetsWork) {
  AgentHello Hello = EntryHarness::hello("a");
  Hello.m_Service.clear();
  Hello.m_EndpointAddress.clear();
  Hello.m_State = AgentState::Draining;
  const LinkId Agent = m_Entry.connect(Hello);
  m_Entry.submit(1);
  BOOST_REQUIRE(m_Entry.take<AnswerRequest>().size() == 1U);
  m_Entry.receive(Agent, EntryHarness::hello("a"));
  m_Entry.submit(2);
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 1U);
}

// Guards against dispatching to a failure domain that the operator drains.
BOOST_AUTO_TEST_CASE(DrainedFailureDomainGetsNoNewWork) {
  const LinkId Agent = m_Entry.connect("a", 2);
  m_Entry.adopt(2, "drained");
  m_Entry.submit(1);
  BOOST_TEST(m_Entry.dispatches(Agent).empty());
  m_Entry.adopt(3);
  BOOST_TEST(m_Entry.dispatches(Agent).size() == 1U);
  BOOST_TEST(m_Entry.sent<ConfigView>(Agent).size() == 3U);
}

// Guards against reports that do not show why an agent gets no work.
BOOST_AUTO_TEST_CASE(ReportShowsWhyAnAgentGetsNoWork) {
  const LinkId Lost = m_Entry.connect("a");
  const LinkId Draining = m_Entry.connect("b");
  m_Entry.connect("c");
  m_Entry.close(Lost);
  m_Entry.receive(Draining, AgentStatus{AgentState::Draining, 1, 0});
  const auto Reports = m_Entry.agents();
  BOOST_REQUIRE(Reports.size() == 3U);
  BOOST_TEST(Reports[0].m_State == "link-lost");
  BOOST_TEST(Reports[1].m_State == "leaving");
  BOOST_TEST(Reports[2].m_State == "available");
}

BOOST_AUTO_TEST_SUITE_END()
