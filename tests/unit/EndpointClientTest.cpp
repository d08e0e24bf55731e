// Exchanges of an agent with its endpoint over real connections.
#include "agent/EndpointClient.h"
#include "bench/StandinListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace cyclamencroft;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr Duration Patience = std::chrono::seconds(5);

struct EndpointClientFixture {
  EndpointClientFixture() { m_Client.setEndpoint(m_Listener.address(), 4); }

  void start(std::uint64_t Run, Duration TimeLeft = Patience,
             const std::string &Address = {}) {
    StartRun Command;
    Command.m_Run = RunId{Run};
    Command.m_EndpointAddress =
        Address.empty() ? m_Listener.address() : Address;
    Command.m_Request = {1, Run};
    Command.m_Deadline = RuntimeClock::now() + TimeLeft;
    Command.m_Body = makePayload("body of " + std::to_string(Run));
    m_Client.start(Command);
  }

  /// Runs the io_context until \p Done, at most for the test's patience.
  template <class Condition> void runUntil(Condition Done) {
    const TimePoint Limit = RuntimeClock::now() + Patience;
    while (!Done() && RuntimeClock::now() < Limit)
      m_Io.run_one_for(std::chrono::milliseconds(10));
    BOOST_REQUIRE(Done());
  }

  RunEnded runToEnd(std::size_t Count = 1) {
    runUntil([&] { return m_Ended.size() >= Count; });
    return m_Ended[Count - 1];
  }

  boost::asio::io_context m_Io;
  std::vector<std::shared_ptr<StandinExchange>> m_Requests;
  /// Answers at once when set; else the test answers m_Requests.
  std::function<void(StandinExchange &)> m_Answer;
  StandinListener m_Listener{m_Io, "127.0.0.1:0",
                             [this](std::shared_ptr<StandinExchange> Exchange) {
                               m_Requests.push_back(Exchange);
                               if (m_Answer)
                                 m_Answer(*Exchange);
                             }};
  std::vector<RunEnded> m_Ended;
  EndpointClient m_Client{
      m_Io, [this](RunEnded Run) { m_Ended.push_back(std::move(Run)); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointClients, EndpointClientFixture)

// Guards against a request without its identity, a changed answer, and a new
// connection for each task.
BOOST_AUTO_TEST_CASE(WholeAnswersCompleteOverOneConnection) {
  m_Answer = [](StandinExchange &E) { E.respond(404, E.request().m_Body); };
  for (std::uint64_t Run = 1; Run <= 5; ++Run) {
    start(Run);
    const RunEnded Ended = runToEnd(Run);
    BOOST_TEST((Ended.m_Outcome == Outcome::Completed));
    BOOST_TEST((Ended.m_Run == RunId{Run}));
    BOOST_TEST(Ended.m_HttpStatus == 404);
    BOOST_TEST(bytesOf(Ended.m_Body) == "body of " + std::to_string(Run));
  }
  BOOST_TEST(m_Requests.back()->request().m_RequestId ==
             "00000000000000010000000000000005");
  BOOST_TEST(m_Listener.peakConnections() == 1U);
}

// Guards against answers that reach the wrong run when they come out of order.
BOOST_AUTO_TEST_CASE(AnswersOutOfOrderReachTheirRuns) {
  start(1);
  start(2);
  runUntil([&] { return m_Requests.size() == 2; });
  m_Requests[1]->respond(200, m_Requests[1]->request().m_Body);
  const RunEnded First = runToEnd(1);
  m_Requests[0]->respond(200, m_Requests[0]->request().m_Body);
  const RunEnded Second = runToEnd(2);
  for (const RunEnded &Ended : {First, Second})
    BOOST_TEST(bytesOf(Ended.m_Body) ==
               "body of " +
                   std::to_string(static_cast<std::uint64_t>(Ended.m_Run)));
}

// Guards against a failing endpoint that counts as healthy.
BOOST_AUTO_TEST_CASE(ServerErrorIsFailure) {
  m_Answer = [](StandinExchange &E) { E.respond(500, "broken"); };
  start(1);
  const RunEnded Ended = runToEnd();
  BOOST_TEST((Ended.m_Outcome == Outcome::Failed));
  BOOST_TEST(Ended.m_HttpStatus == 500);
}

// Guards against part of an answer that is passed on as the whole.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsFailure) {
  m_Answer = [](StandinExchange &E) { E.respondTruncated("a long answer"); };
  start(1);
  const RunEnded Ended = runToEnd();
  BOOST_TEST((Ended.m_Outcome == Outcome::Failed));
  BOOST_TEST(bytesOf(Ended.m_Body).empty());
}

// Guards against answers that take the agent's memory.
BOOST_AUTO_TEST_CASE(OversizedAnswerIsFailure) {
  m_Answer = [](StandinExchange &E) {
    E.respond(200, std::string(MaxResponseBytes + 1, 'x'));
  };
  start(1);
  BOOST_TEST((runToEnd().m_Outcome == Outcome::Failed));
}

// Guards against a late answer that is taken for that of a later task: the
// connection that timed out must not be used again.
BOOST_AUTO_TEST_CASE(TimedOutConnectionIsNotReused) {
  start(1, std::chrono::milliseconds(50));
  BOOST_TEST((runToEnd().m_Outcome == Outcome::Unknown));
  BOOST_REQUIRE_EQUAL(m_Requests.size(), 1U);
  m_Requests[0]->respond(200, "late");
  m_Answer = [](StandinExchange &E) { E.respond(200, "in time"); };
  start(2);
  BOOST_TEST(bytesOf(runToEnd(2).m_Body) == "in time");
}

// Guards against a task that is reported as run, or as unknown, although no
// byte of it was sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotRun) {
  Tcp::acceptor Taken(m_Io, {boost::asio::ip::address_v4::loopback(), 0});
  const auto Port = std::to_string(Taken.local_endpoint().port());
  Taken.close();
  start(1, Patience, "127.0.0.1:" + Port);
  BOOST_TEST((runToEnd().m_Outcome == Outcome::NotRun));
}

// Guards against an overdue start after a freeze between decision and write.
BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheDeadline) {
  m_Answer = [](StandinExchange &E) { E.respond(200, "done"); };
  start(1);
  runToEnd();
  start(2, std::chrono::milliseconds(20));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  BOOST_TEST((runToEnd(2).m_Outcome == Outcome::NotRun));
  BOOST_TEST(m_Requests.size() == 1U);
}

// Guards against a cancelled task that keeps its place until the deadline, and
// against an endpoint that isn't told.
BOOST_AUTO_TEST_CASE(AbortClosesTheConnection) {
  start(1);
  runUntil([&] { return m_Requests.size() == 1; });
  m_Client.abort(RunId{1});
  BOOST_TEST((runToEnd().m_Outcome == Outcome::Unknown));
}

// Guards against a task that is lost because the endpoint had closed an idle
// connection.
BOOST_AUTO_TEST_CASE(ConnectionClosedByEndpointIsNotReused) {
  Tcp::acceptor Acceptor(m_Io, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  m_Client.setEndpoint(Address, 4);
  std::uint64_t Served = 0;
  char Request[4096];
  std::function<void()> ServeNext = [&] {
    const auto Socket = std::make_shared<Tcp::socket>(m_Io);
    Acceptor.async_accept(
        *Socket, [&, Socket](const boost::system::error_code &Fault) {
          if (Fault)
            return;
          Socket->async_read_some(
              boost::asio::buffer(Request),
              [&, Socket](const boost::system::error_code &, std::size_t) {
                const std::string Answer =
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                boost::asio::write(*Socket, boost::asio::buffer(Answer));
                ++Served;
                ServeNext();
              });
        });
  };
  ServeNext();
  for (std::uint64_t Run = 1; Run <= 3; ++Run) {
    start(Run, Patience, Address);
    BOOST_TEST((runToEnd(Run).m_Outcome == Outcome::Completed));
  }
  BOOST_TEST(Served == 3U);
  Acceptor.close();
  m_Io.poll();
}

BOOST_AUTO_TEST_SUITE_END()
