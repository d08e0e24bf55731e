// Links of an agent's core: hellos, windows, lost links, draining and shutdown.
#include "AgentCoreFixture.h"

using namespace cyclamencroft;

BOOST_FIXTURE_TEST_SUITE(AgentLinks, AgentCoreFixture)

// Guards against a hello that lacks fields needed for routing.
BOOST_AUTO_TEST_CASE(FirstHelloDescribesEndpoint) {
  announce();
  openLink(LinkId{1});
  const auto Hellos = sent<AgentHello>();
  BOOST_REQUIRE_EQUAL(Hellos.size(), 1U);
  BOOST_TEST(Hellos[0].m_Service == "permits");
  BOOST_TEST(Hellos[0].m_EndpointAddress == "127.0.0.1:7000");
  BOOST_TEST(Hellos[0].m_Slots == 2U);
  BOOST_TEST((Hellos[0].m_State == AgentState::Active));
  receiveEntryHello(1);
  BOOST_TEST(commands<SendMessage>().empty());
}

// Guards against tasks accepted from an entry whose incarnation is not known.
BOOST_AUTO_TEST_CASE(NothingIsAcceptedBeforeEntryHello) {
  announce();
  openLink(LinkId{1});
  dispatch(1);
  BOOST_TEST(starts() == 0U);
  BOOST_TEST(commands<CloseLink>().size() == 1U);
}

// Guards against messages exchanged between different protocol versions.
BOOST_AUTO_TEST_CASE(OtherProtocolVersionClosesLink) {
  openLink(LinkId{1});
  EntryHello Hello;
  Hello.m_EntryId = "entry-z";
  Hello.m_Protocol = 9;
  receive(Hello);
  const auto Closed = commands<CloseLink>();
  BOOST_REQUIRE_EQUAL(Closed.size(), 1U);
  BOOST_TEST(Closed[0].m_Reason ==
             "entry entry-z has protocol version 9, this agent has " +
                 std::to_string(ProtocolVersion));
}

// Guards against a running task that is started twice, or whose result is lost,
// after its link was lost.
BOOST_AUTO_TEST_CASE(WindowOutlivesLostLink) {
  connect();
  const RunId Run = start(1);
  end(start(2));
  feed(LinkClosed{LinkId{1}});
  reconnect(LinkId{2});
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Active));
  receive(Reconcile{{1, 2, 3}});
  const auto Reports = sent<ReconcileReply>().at(0).m_Reports;
  BOOST_TEST((Reports[0].m_State == SequenceState::Running));
  BOOST_TEST((Reports[1].m_State == SequenceState::Finished));
  BOOST_TEST((Reports[2].m_State == SequenceState::Fenced));
  BOOST_TEST(sent<TaskResult>().at(0).m_Sequence == 2U);
  end(Run);
  BOOST_TEST(sent<TaskResult>().at(0).m_Sequence == 1U);
}

// Guards against resent results that contain the load at the end of their run:
// the entry would dispatch to slots that are busy by now.
BOOST_AUTO_TEST_CASE(ResentResultReportsCurrentLoad) {
  connect();
  const RunId First = start(1);
  end(First);
  start(2);
  dispatch(1);
  BOOST_REQUIRE_EQUAL(sent<TaskResult>().size(), 1U);
  BOOST_TEST(sent<TaskResult>()[0].m_Running == 1U);
  reconnect(LinkId{2});
  receive(Reconcile{{1}});
  BOOST_REQUIRE_EQUAL(sent<TaskResult>().size(), 1U);
  BOOST_TEST(sent<TaskResult>()[0].m_Running == 1U);
}

// Guards against reporting "fenced" for a task that may have run.
BOOST_AUTO_TEST_CASE(SequenceBelowFloorIsUnknown) {
  connect();
  m_Floor = 3;
  end(start(3));
  BOOST_TEST((reconcile(2) == SequenceState::Unknown));
  BOOST_TEST((reconcile(3) == SequenceState::Finished));
  m_Floor = 4;
  start(4);
  BOOST_TEST((reconcile(3) == SequenceState::Unknown));
}

// Guards against starting a task that its entry may have abandoned.
BOOST_AUTO_TEST_CASE(WaitingTaskIsFencedWhenLinkIsLost) {
  m_Slots = 1;
  connect();
  allowQueue(1);
  const RunId Run = start(1);
  dispatch(2);
  feed(LinkClosed{LinkId{1}});
  end(Run);
  BOOST_TEST(starts() == 0U);
  reconnect(LinkId{2});
  BOOST_TEST((reconcile(2) == SequenceState::Fenced));
}

// Guards against an entry that dispatches without knowing its window, and
// against results and queued tasks that are used for the wrong incarnation.
BOOST_AUTO_TEST_CASE(NewEntryIncarnationGetsNewWindow) {
  m_Slots = 1;
  connect();
  allowQueue(1);
  const RunId Run = start(1);
  dispatch(2);
  openLink(LinkId{2});
  const AgentHello First = sent<AgentHello>().at(0);
  BOOST_TEST((First.m_State == AgentState::Draining));
  receiveEntryHello(99);
  const AgentHello Second = sent<AgentHello>().at(0);
  BOOST_TEST((Second.m_State == AgentState::Active));
  BOOST_TEST(Second.m_WindowId > First.m_WindowId);
  end(Run);
  BOOST_TEST(sent<TaskResult>().empty());
  BOOST_TEST(starts() == 0U);
  start(1);
}

// Guards against starting a queued task of a replaced entry: a relay may
// connect an open link to a restarted entry.
BOOST_AUTO_TEST_CASE(NewIncarnationOnOpenLinkDropsQueue) {
  m_Slots = 1;
  connect();
  allowQueue(1);
  const RunId Run = start(1);
  dispatch(2);
  receiveEntryHello(99);
  BOOST_TEST(sent<AgentHello>().size() == 1U);
  end(Run);
  BOOST_TEST(starts() == 0U);
}

// Guards against one window id for two addresses of the same entry: the entry
// would reconcile at one address what it dispatched at the other.
BOOST_AUTO_TEST_CASE(WindowIdsDifferBetweenAddresses) {
  openLink(LinkId{1}, 0);
  const std::uint64_t First = sent<AgentHello>().at(0).m_WindowId;
  openLink(LinkId{2}, 1);
  BOOST_TEST(sent<AgentHello>().at(0).m_WindowId != First);
}

// Guards against tasks started at a draining endpoint, queued tasks that are
// lost, and state changes that are reported after the refusals.
BOOST_AUTO_TEST_CASE(DrainingEndpointRefusesQueueAndFinishesRunning) {
  m_Slots = 1;
  connect();
  allowQueue(1);
  const RunId Run = start(1);
  dispatch(2);
  feed(EndpointDraining{});
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Draining));
  BOOST_TEST(refusal() == RefusalReason::Draining);
  dispatch(3);
  BOOST_TEST(refusal() == RefusalReason::Draining);
  end(Run);
  BOOST_TEST(sent<TaskResult>().size() == 1U);
  announce();
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Active));
  start(4);
}

// Guards against starting tasks at an endpoint that no longer renews its lease.
BOOST_AUTO_TEST_CASE(ExpiredLeaseRefusesWork) {
  connect();
  advance(2 * Second);
  start(1);
  BOOST_TEST((m_Core.nextWakeup() == m_Now + Second));
  advance(Second);
  dispatch(2);
  BOOST_TEST(refusal() == RefusalReason::EndpointAbsent);
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Draining));
}

// Guards against a drained failure domain that still runs new tasks, never
// becomes active again, or becomes active because of an older view.
BOOST_AUTO_TEST_CASE(DrainedDomainLeavesUntilLaterView) {
  connect();
  receive(ConfigView{5, "maintenance", 0, {"brest", "quimper"}});
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Draining));
  receive(ConfigView{4, "ordinary", 0, {}});
  dispatch(1);
  BOOST_TEST(refusal() == RefusalReason::Draining);
  receive(ConfigView{6, "ordinary", 0, {}});
  BOOST_TEST((sent<AgentStatus>().at(0).m_State == AgentState::Active));
  start(2);
  BOOST_TEST(m_Core.status().m_ConfigVersion == 6U);
}

// Guards against an agent that exits before its last result is sent.
BOOST_AUTO_TEST_CASE(ShutdownDrainsAfterLastResult) {
  connect();
  const RunId Run = start(1);
  feed(ShutdownRequested{});
  BOOST_TEST(commands<Drained>().empty());
  announce();
  dispatch(2);
  BOOST_TEST(refusal() == RefusalReason::Draining);
  end(Run);
  BOOST_TEST(sent<TaskResult>().size() == 1U);
  BOOST_TEST(sent<Goodbye>().size() == 1U);
  BOOST_TEST(commands<Drained>().size() == 1U);
}

// Guards against results lost because the link was down during a shutdown.
BOOST_AUTO_TEST_CASE(ShutdownWaitsForEntryToReconcile) {
  connect();
  const RunId Run = start(1);
  feed(ShutdownRequested{});
  feed(LinkClosed{LinkId{1}});
  end(Run);
  BOOST_TEST(commands<Drained>().empty());
  BOOST_TEST((m_Core.nextWakeup() <= m_Now + 2 * Second));
  reconnect(LinkId{2});
  BOOST_TEST(commands<Drained>().empty());
  BOOST_TEST((reconcile(1) == SequenceState::Finished));
  BOOST_TEST(sent<TaskResult>().size() == 1U);
  BOOST_TEST(commands<Drained>().size() == 1U);
}

// Guards against a task that runs at an endpoint of another service: its
// dispatch was in transit when the endpoint was replaced.
BOOST_AUTO_TEST_CASE(ReplacedServiceRefusesEarlierDispatches) {
  connect();
  start(1);
  m_Service = "refills";
  m_Address = "127.0.0.1:7001";
  announce();
  BOOST_TEST(sent<AgentHello>().at(0).m_Service == "refills");
  const std::uint64_t Number = sent<Ping>().at(0).m_Number;
  dispatch(2);
  BOOST_TEST(refusal() == RefusalReason::Draining);
  receive(Pong{Number});
  dispatch(3);
  BOOST_TEST(commands<StartRun>().at(0).m_EndpointAddress == "127.0.0.1:7001");
}

// Guards against a task at an endpoint that is too small for it: its dispatch
// was in transit, or waited for a slot, when the endpoint was replaced.
BOOST_AUTO_TEST_CASE(ASmallerEndpointRefusesEarlierDispatches) {
  connect();
  allowQueue(1);
  start(1);
  start(2);
  dispatch(3);
  BOOST_TEST(starts() == 0U);
  m_Size = {2, 4096, 0};
  m_Address = "127.0.0.1:7001";
  announce();
  BOOST_TEST(refusal() == RefusalReason::Draining);
  BOOST_TEST(starts() == 0U);
  const std::uint64_t Number = sent<Ping>().at(0).m_Number;
  dispatch(4);
  BOOST_TEST(refusal() == RefusalReason::Draining);
  receive(Pong{Number});
  start(5);
}

// Guards against refusing work because the endpoint has grown.
BOOST_AUTO_TEST_CASE(ALargerEndpointKeepsEarlierDispatches) {
  connect();
  m_Size = {8, 4096, 0};
  announce();
  BOOST_TEST((sent<AgentHello>().at(0).m_Size == m_Size));
  BOOST_TEST(sent<Ping>().empty());
  start(1);
}

// Guards against entries that use an outdated number of slots, and against
// tasks at a replaced endpoint that count against the slots of the new one.
BOOST_AUTO_TEST_CASE(ChangedEndpointIsReported) {
  connect();
  start(1);
  m_Slots = 1;
  announce();
  BOOST_TEST(sent<AgentStatus>().at(0).m_Slots == 1U);
  m_Address = "127.0.0.1:7001";
  announce();
  BOOST_TEST(sent<AgentHello>().at(0).m_EndpointAddress == "127.0.0.1:7001");
  start(2);
}

// Guards against treating idle links as dead, or dead links as idle.
BOOST_AUTO_TEST_CASE(IdleLinksCarryHeartbeats) {
  connect();
  renewAfter(19 * Second);
  BOOST_TEST(sent<Heartbeat>().empty());
  feed(EndpointDraining{});
  advance(20 * Second);
  BOOST_TEST((m_Core.nextWakeup() == m_Now));
  feed(Tick{});
  BOOST_TEST(sent<Heartbeat>().size() == 1U);
  receive(Ping{5});
  BOOST_TEST(sent<Pong>().at(0).m_Number == 5U);
  advance(50 * Second);
  feed(Tick{});
  BOOST_TEST(commands<CloseLink>().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
