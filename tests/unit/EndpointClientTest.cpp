// HTTP exchanges of an agent with its endpoint over real connections.
#include "agent/EndpointClient.h"
#include "bench/StandinListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace cyclamencroft;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr Duration WaitLimit = std::chrono::seconds(5);

/// Answers each connection's first request with fixed bytes and closes it.
class RawServer {
public:
  RawServer(boost::asio::io_context &Io, std::string Answer)
      : m_Io(Io), m_Answer(std::move(Answer)),
        m_Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }
  ~RawServer() {
    m_Acceptor.close();
    m_Io.poll();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }
  std::size_t served() const { return m_Served; }

private:
  void accept() {
    const auto Socket = std::make_shared<Tcp::socket>(m_Io);
    m_Acceptor.async_accept(
        *Socket, [this, Socket](const boost::system::error_code &Fault) {
          if (!Fault)
            serve(Socket);
        });
  }

  void serve(const std::shared_ptr<Tcp::socket> &Socket) {
    Socket->async_read_some(
        boost::asio::buffer(m_Request),
        [this, Socket](const boost::system::error_code &, std::size_t) {
          boost::asio::write(*Socket, boost::asio::buffer(m_Answer));
          ++m_Served;
          accept();
        });
  }

  boost::asio::io_context &m_Io;
  std::string m_Answer;
  Tcp::acceptor m_Acceptor;
  std::array<char, 4096> m_Request{};
  std::size_t m_Served = 0;
};

struct EndpointClientFixture {
  EndpointClientFixture() { m_Client.setEndpoint(m_Listener.address(), 4); }

  void start(std::uint64_t Run, Duration TimeLeft = WaitLimit,
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

  /// Runs the io_context until \p Done returns true, at most for WaitLimit.
  template <class Condition> void runUntil(Condition Done) {
    const TimePoint Limit = RuntimeClock::now() + WaitLimit;
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
  /// Answers requests on arrival when set; otherwise the test answers
  /// m_Requests.
  std::function<void(StandinExchange &)> m_Answer;
  StandinListener m_Listener{
      m_Io, "127.0.0.1:0",
      [this](const std::shared_ptr<StandinExchange> &Exchange) {
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

// Guards against a request without its request id, an altered answer, and a new
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
  BOOST_TEST(m_Listener.acceptedConnections() == 1U);
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

// Guards against server errors that don't count as failures of the endpoint.
BOOST_AUTO_TEST_CASE(ServerErrorIsFailure) {
  m_Answer = [](StandinExchange &E) { E.respond(500, "broken"); };
  start(1);
  const RunEnded Ended = runToEnd();
  BOOST_TEST((Ended.m_Outcome == Outcome::Failed));
  BOOST_TEST(Ended.m_HttpStatus == 500);
}

// Guards against a partial answer that is passed on as complete.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsFailure) {
  m_Answer = [](StandinExchange &E) { E.respondTruncated("a long answer"); };
  start(1);
  const RunEnded Ended = runToEnd();
  BOOST_TEST((Ended.m_Outcome == Outcome::Failed));
  BOOST_TEST(bytesOf(Ended.m_Body).empty());
}

// Guards against answers that exhaust the agent's memory.
BOOST_AUTO_TEST_CASE(OversizedAnswerIsFailure) {
  m_Answer = [](StandinExchange &E) {
    E.respond(200, std::string(MaxResponseBytes + 1, 'x'));
  };
  start(1);
  BOOST_TEST((runToEnd().m_Outcome == Outcome::Failed));
}

// Guards against a late answer that is matched to a later task: a connection
// whose request timed out must not be reused.
BOOST_AUTO_TEST_CASE(TimedOutConnectionIsNotReused) {
  start(1, std::chrono::milliseconds(50));
  BOOST_TEST((runToEnd().m_Outcome == Outcome::Unknown));
  BOOST_REQUIRE_EQUAL(m_Requests.size(), 1U);
  m_Answer = [](StandinExchange &E) { E.respond(200, "in time"); };
  start(2);
  m_Io.run_for(std::chrono::milliseconds(20));
  m_Requests[0]->respond(200, "late");
  BOOST_TEST(bytesOf(runToEnd(2).m_Body) == "in time");
}

// Guards against a task that is reported as run, or as unknown, although no
// byte of it was sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotRun) {
  Tcp::acceptor Taken(m_Io, {boost::asio::ip::address_v4::loopback(), 0});
  const auto Port = std::to_string(Taken.local_endpoint().port());
  Taken.close();
  start(1, WaitLimit, "127.0.0.1:" + Port);
  BOOST_TEST((runToEnd().m_Outcome == Outcome::NotRun));
}

// Guards against a start after the deadline when the process freezes between
// the decision to start and the write.
BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheDeadline) {
  m_Answer = [](StandinExchange &E) { E.respond(200, "done"); };
  start(1);
  runToEnd();
  start(2, std::chrono::milliseconds(20));
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  BOOST_TEST((runToEnd(2).m_Outcome == Outcome::NotRun));
  BOOST_TEST(m_Requests.size() == 1U);
}

// Guards against a cancelled task that uses its slot until the deadline, and
// against an endpoint whose connection stays open.
BOOST_AUTO_TEST_CASE(AbortClosesTheConnection) {
  start(1, 10 * WaitLimit);
  runUntil([&] { return m_Requests.size() == 1; });
  bool Disconnected = false;
  m_Requests[0]->onDisconnect([&] { Disconnected = true; });
  m_Client.abort(RunId{1});
  BOOST_TEST((runToEnd().m_Outcome == Outcome::Unknown));
  runUntil([&] { return Disconnected; });
}

// Guards against a task that is lost because the endpoint had closed an idle
// connection.
BOOST_AUTO_TEST_CASE(ConnectionClosedByEndpointIsNotReused) {
  RawServer Server(m_Io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  m_Client.setEndpoint(Server.address(), 4);
  for (std::uint64_t Run = 1; Run <= 3; ++Run) {
    start(Run, WaitLimit, Server.address());
    BOOST_TEST((runToEnd(Run).m_Outcome == Outcome::Completed));
  }
  BOOST_TEST(Server.served() == 3U);
}

// Guards against accepting answers without a length: they may have been
// truncated by the end of the connection.
BOOST_AUTO_TEST_CASE(AnswersWithoutLengthAreFailures) {
  const std::vector<std::string> Answers = {
      "HTTP/1.1 200 OK\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HELLO\r\n\r\n"};
  std::uint64_t Run = 0;
  for (const std::string &Answer : Answers) {
    RawServer Server(m_Io, Answer);
    start(++Run, WaitLimit, Server.address());
    BOOST_TEST((runToEnd(Run).m_Outcome == Outcome::Failed), Answer);
  }
}

// Guards against reporting "failed" for a task whose outcome is unknown: the
// endpoint failed after it had received the request.
BOOST_AUTO_TEST_CASE(ConnectionLostBeforeAnAnswerIsUnknown) {
  RawServer Server(m_Io, "");
  start(1, WaitLimit, Server.address());
  BOOST_TEST((runToEnd().m_Outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
