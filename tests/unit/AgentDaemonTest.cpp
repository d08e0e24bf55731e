// Complete agents in one process: link, HTTP and endpoint connections are real,
// the entry is a fake.
#include "cyclamencroft/AgentDaemon.h"
#include "bench/StandinEndpoint.h"
#include "link/LinkServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

using namespace cyclamencroft;

namespace {

constexpr Duration WaitLimit = std::chrono::seconds(10);

/// Accepts agents' links and sends the hello of one entry incarnation.
class FakeEntry {
public:
  FakeEntry(boost::asio::io_context &Io, std::uint64_t EntryIncarnation,
            const std::string &Listen = "127.0.0.1:0")
      : m_Incarnation(EntryIncarnation), m_Server(Io, Listen, handlers()) {}

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Server.port());
  }

  void dispatch(LinkId Link, Sequence Number, const std::string &Body) {
    Dispatch Message;
    Message.m_Sequence = Number;
    Message.m_Floor = 1;
    Message.m_Request = {m_Incarnation, Number};
    Message.m_SentAt = RuntimeClock::now();
    Message.m_TimeLeft = WaitLimit;
    Message.m_Body = makePayload(Body);
    m_Server.send(Link, {Message});
  }

  template <class T> std::vector<T> received() const {
    std::vector<T> Found;
    for (const LinkMessage &Message : m_Received)
      if (const T *One = std::get_if<T>(&Message))
        Found.push_back(*One);
    return Found;
  }

  /// True when the last state that an agent reported is active.
  bool hasActiveAgent() const { return m_Active; }

  std::vector<LinkId> m_Links;
  std::vector<LinkMessage> m_Received;

private:
  LinkHandlers handlers() {
    LinkHandlers Handlers;
    Handlers.m_OnOpen = [this](LinkId Link) { m_Links.push_back(Link); };
    Handlers.m_OnMessages = [this](LinkId Link,
                                   const std::vector<LinkMessage> &Messages) {
      for (const LinkMessage &Message : Messages)
        onMessage(Link, Message);
    };
    Handlers.m_OnClose = [](LinkId, const std::string &) {};
    return Handlers;
  }

  void onMessage(LinkId Link, const LinkMessage &Message) {
    const bool First = received<AgentHello>().empty();
    m_Received.push_back(Message);
    if (const auto *Hello = std::get_if<AgentHello>(&Message)) {
      m_Active = Hello->m_State == AgentState::Active;
      if (First)
        m_Server.send(Link, {EntryHello{ProtocolVersion, "entry-fake",
                                        Incarnation{m_Incarnation}, 0, 1}});
    }
    if (const auto *Status = std::get_if<AgentStatus>(&Message))
      m_Active = Status->m_State == AgentState::Active;
  }

  std::uint64_t m_Incarnation;
  bool m_Active = false;
  LinkServer m_Server;
};

struct AgentDaemonFixture {
  std::unique_ptr<AgentDaemon> startAgent(const std::string &Entry) {
    AgentSettings Settings;
    Settings.m_Id = "agent-" + std::to_string(++m_Agents);
    Settings.m_FailureDomain = "quimper-a";
    Settings.m_Entries = {Entry};
    auto Daemon = AgentDaemon::Builder(Settings).build();
    Daemon->start();
    return Daemon;
  }

  std::unique_ptr<StandinEndpoint> startEndpoint(const AgentDaemon &Agent) {
    StandinOptions Options;
    Options.m_AgentAddress = "127.0.0.1:" + std::to_string(Agent.httpPort());
    Options.m_Slots = 2;
    auto Endpoint = std::make_unique<StandinEndpoint>(m_Io, Options);
    Endpoint->start();
    return Endpoint;
  }

  void runUntil(const std::function<bool()> &Done) {
    const TimePoint Limit = RuntimeClock::now() + WaitLimit;
    while (!Done() && RuntimeClock::now() < Limit)
      m_Io.run_one_for(std::chrono::milliseconds(10));
    BOOST_REQUIRE(Done());
  }

  boost::asio::io_context m_Io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work{m_Io.get_executor()};
  unsigned m_Agents = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentDaemons, AgentDaemonFixture)

// Guards against state shared between daemons, and against events that are lost
// between link, core and endpoint.
BOOST_AUTO_TEST_CASE(TwoAgentsInOneProcessServeTheirOwnEntries) {
  FakeEntry EntryA(m_Io, 11);
  FakeEntry EntryB(m_Io, 22);
  const auto AgentA = startAgent(EntryA.address());
  const auto AgentB = startAgent(EntryB.address());
  const auto EndpointA = startEndpoint(*AgentA);
  const auto EndpointB = startEndpoint(*AgentB);
  runUntil([&] { return EntryA.hasActiveAgent() && EntryB.hasActiveAgent(); });
  EntryA.dispatch(EntryA.m_Links[0], 1, "run-ms=5 ");
  EntryA.dispatch(EntryA.m_Links[0], 2, "run-ms=5 ");
  EntryB.dispatch(EntryB.m_Links[0], 1, "run-ms=5 ");
  runUntil([&] {
    return EntryA.received<TaskResult>().size() == 2 &&
           EntryB.received<TaskResult>().size() == 1;
  });
  BOOST_TEST(AgentA->status().m_Starts == 2U);
  BOOST_TEST(AgentB->status().m_Starts == 1U);
  BOOST_TEST(EndpointA->totals().m_Distinct == 2U);
  const TaskResult Result = EntryB.received<TaskResult>()[0];
  BOOST_TEST((Result.m_Outcome == Outcome::Completed));
  BOOST_TEST(bytesOf(Result.m_Body) ==
             "request=00000000000000160000000000000001 task=0\n");
}

// Guards against a shutdown that interrupts a running task, loses its result or
// doesn't end the process.
BOOST_AUTO_TEST_CASE(ShutdownSendsResultOfRunningTask) {
  FakeEntry Entry(m_Io, 11);
  const auto Agent = startAgent(Entry.address());
  const auto Endpoint = startEndpoint(*Agent);
  runUntil([&] { return Entry.hasActiveAgent(); });
  Entry.dispatch(Entry.m_Links[0], 1, "run-ms=200 ");
  runUntil([&] { return Endpoint->totals().m_Running == 1; });
  Agent->requestShutdown();
  runUntil([&] { return !Entry.hasActiveAgent(); });
  Entry.dispatch(Entry.m_Links[0], 2, "run-ms=1 ");
  runUntil([&] { return Entry.received<Goodbye>().size() == 1; });
  BOOST_TEST(Entry.received<TaskResult>().size() == 1U);
  BOOST_TEST(Entry.received<TaskRefused>().size() == 1U);
  BOOST_TEST(Agent->wait());
  BOOST_TEST(Endpoint->totals().m_Total == 1U);
}

// Guards against an agent that doesn't reconnect after its entry has stopped,
// or that treats a restarted entry as the earlier incarnation.
BOOST_AUTO_TEST_CASE(RestartedEntryGetsNewWindow) {
  auto Entry = std::make_unique<FakeEntry>(m_Io, 11);
  const std::string Address = Entry->address();
  const auto Agent = startAgent(Address);
  const auto Endpoint = startEndpoint(*Agent);
  runUntil([&] { return Entry->hasActiveAgent(); });
  Entry->dispatch(Entry->m_Links[0], 1, "run-ms=100 ");
  runUntil([&] { return Endpoint->totals().m_Running == 1; });
  const std::uint64_t OldWindow = Entry->received<AgentHello>()[0].m_WindowId;
  Entry.reset();
  FakeEntry Restarted(m_Io, 12, Address);
  runUntil([&] { return Restarted.hasActiveAgent(); });
  BOOST_TEST(Restarted.received<AgentHello>().back().m_WindowId > OldWindow);
  Restarted.dispatch(Restarted.m_Links[0], 1, "run-ms=1 ");
  runUntil([&] {
    const AgentStatusReport Status = Agent->status();
    return Status.m_Starts == 2 && Status.m_Running == 0;
  });
  runUntil([&] { return !Restarted.received<TaskResult>().empty(); });
  BOOST_TEST(Restarted.received<TaskResult>().size() == 1U);
  BOOST_TEST(Endpoint->totals().m_Distinct == 2U);
}

// Guards against a stop that waits for running tasks.
BOOST_AUTO_TEST_CASE(StopEndsAtOnce) {
  FakeEntry Entry(m_Io, 11);
  const auto Agent = startAgent(Entry.address());
  const auto Endpoint = startEndpoint(*Agent);
  runUntil([&] { return Entry.hasActiveAgent(); });
  Entry.dispatch(Entry.m_Links[0], 1, "run-ms=9000 ");
  runUntil([&] { return Endpoint->totals().m_Running == 1; });
  Agent->stop();
  BOOST_TEST(!Agent->wait());
  runUntil([&] { return Endpoint->totals().m_Aborted == 1; });
}

// Guards against a draining endpoint that is given tasks, or that can't become
// active again.
BOOST_AUTO_TEST_CASE(EndpointLeavesAndReturns) {
  FakeEntry Entry(m_Io, 11);
  const auto Agent = startAgent(Entry.address());
  const auto Endpoint = startEndpoint(*Agent);
  runUntil([&] { return Entry.hasActiveAgent(); });
  Endpoint->setMode(StandinMode::Leave);
  runUntil([&] { return !Entry.hasActiveAgent(); });
  Entry.dispatch(Entry.m_Links[0], 1, "run-ms=1 ");
  runUntil([&] { return Entry.received<TaskRefused>().size() == 1; });
  Endpoint->setMode(StandinMode::Normal);
  runUntil([&] { return Entry.hasActiveAgent(); });
  BOOST_TEST(Endpoint->totals().m_Total == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
