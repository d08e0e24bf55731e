// Keep-alive connections: reuse, loss and refusal.
#include "http/HttpConnectionPool.h"

#include "http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  boost::asio::io_context m_Io{1};
  std::optional<HttpServer> m_Server;
  std::vector<std::shared_ptr<HttpExchange>> m_Held;
  bool m_Hold = false;
  /// Answer to the question of a PeerCheck.
  std::string m_Name;
  std::size_t m_Questions = 0;
  /// Of the calls that were served.
  std::vector<std::string> m_Bodies;

  void serve(const std::string &Listen = "127.0.0.1:0") {
    m_Server.emplace(
        m_Io, Listen,
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          if (m_Hold)
            return m_Held.push_back(Exchange);
          const std::string &Body = Exchange->request().body();
          if (Exchange->request().target() == "/who") {
            ++m_Questions;
            return Exchange->respond({200, {}, m_Name});
          }
          m_Bodies.push_back(Body);
          Exchange->respond({200, {}, Body});
        },
        HttpServer::Limits{});
  }
  static std::shared_ptr<const PeerCheck> checkFor(const std::string &Name) {
    auto Check = std::make_shared<PeerCheck>();
    Check->m_Identity = Name;
    Check->m_Question.m_Target = "/who";
    Check->m_Reject =
        [Name](const HttpResponse &Response) -> std::optional<HttpOutcome> {
      if (Response.m_Body == Name)
        return std::nullopt;
      return Error{std::string(OtherPeerStep), "", Response.m_Body};
    };
    return Check;
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Server->port());
  }

  HttpOutcome call(HttpConnectionPool &Pool, const std::string &Address,
                   std::string Body = "", Duration Timeout = 2s,
                   std::shared_ptr<const PeerCheck> Expected = nullptr) {
    std::optional<HttpOutcome> Outcome;
    HttpCall Call;
    Call.m_Address = Address;
    Call.m_Method = "POST";
    Call.m_Body = std::move(Body);
    Call.m_Timeout = Timeout;
    Pool.call(
        Call, [&](HttpOutcome Ended) { Outcome = std::move(Ended); },
        std::move(Expected));
    const TimePoint Limit = RuntimeClock::now() + 5s;
    m_Io.restart();
    while (!Outcome && RuntimeClock::now() < Limit)
      m_Io.run_one_for(50ms);
    BOOST_REQUIRE(Outcome.has_value());
    return *Outcome;
  }

  void stopServer() {
    m_Server->stop();
    m_Server.reset();
    m_Io.restart();
    m_Io.poll();
  }
};

std::string stepOf(const HttpOutcome &Outcome) {
  const auto *Fault = std::get_if<Error>(&Outcome);
  return Fault ? Fault->m_Step : "";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpConnections, Fixture)

// Guards against a call that reaches the process which has taken over the
// address of the expected one: on a new connection, and on one that turns out
// to be lost.
BOOST_AUTO_TEST_CASE(ACallReachesOnlyTheExpectedProcess) {
  serve();
  const std::string Address = address();
  m_Name = "first";
  const auto First = checkFor("first");
  HttpConnectionPool Pool(m_Io, 4);
  BOOST_TEST(stepOf(call(Pool, Address, "a", 2s, First)) == "");
  BOOST_TEST(stepOf(call(Pool, Address, "b", 2s, First)) == "");
  BOOST_TEST(m_Questions == 1U);
  stopServer();
  m_Name = "second";
  serve(Address);
  BOOST_TEST(stepOf(call(Pool, Address, "c", 2s, First)) == OtherPeerStep);
  BOOST_TEST(stepOf(call(Pool, Address, "d", 2s, First)) == OtherPeerStep);
  BOOST_TEST(stepOf(call(Pool, Address, "e", 2s, checkFor("second"))) == "");
  BOOST_TEST(m_Bodies == (std::vector<std::string>{"a", "b", "e"}),
             boost::test_tools::per_element());
}

// Guards against a call on a connection to a process that it does not expect.
BOOST_AUTO_TEST_CASE(CallsForDifferentProcessesShareNoConnection) {
  serve();
  HttpConnectionPool Pool(m_Io, 4);
  m_Name = "first";
  BOOST_TEST(stepOf(call(Pool, address(), "a", 2s, checkFor("first"))) == "");
  m_Name = "second";
  BOOST_TEST(stepOf(call(Pool, address(), "b", 2s, checkFor("second"))) == "");
  BOOST_TEST(m_Questions == 2U);
}

// Guards against opening a new connection, which is costly at endpoints, for
// each call.
BOOST_AUTO_TEST_CASE(ConsecutiveCallsShareAConnection) {
  serve();
  HttpConnectionPool Pool(m_Io, 4);
  for (int Round = 0; Round < 3; ++Round) {
    const HttpOutcome Outcome = call(Pool, address(), "body");
    BOOST_REQUIRE(std::holds_alternative<HttpResponse>(Outcome));
    BOOST_TEST(std::get<HttpResponse>(Outcome).m_Body == "body");
  }
  BOOST_TEST(m_Server->connections() == 1U);
}

// Guards against a call that fails because the peer has closed a keep-alive
// connection since the previous call.
BOOST_AUTO_TEST_CASE(AStaleConnectionIsReplaced) {
  serve();
  HttpConnectionPool Pool(m_Io, 1);
  const std::string Address = address();
  call(Pool, Address);
  stopServer();
  serve(Address);
  const HttpOutcome Outcome = call(Pool, Address, "again");
  BOOST_REQUIRE(std::holds_alternative<HttpResponse>(Outcome));
  BOOST_TEST(std::get<HttpResponse>(Outcome).m_Resent);
}

// Guards against an order that is sent after its time, because all connections
// were busy or the process was suspended.
BOOST_AUTO_TEST_CASE(ACallThatTimesOutInTheQueueIsNotSent) {
  serve();
  m_Hold = true;
  HttpConnectionPool Pool(m_Io, 1);
  HttpCall First;
  First.m_Address = address();
  First.m_Timeout = 100ms;
  Pool.call(First, [](const HttpOutcome &) {});
  BOOST_TEST(stepOf(call(Pool, address(), "late", 30ms)) == ConnectStep);
  m_Io.restart();
  m_Io.run_for(50ms);
  BOOST_TEST(m_Held.size() == 1U);
}

// Guards against reporting a crashed endpoint like one that does not respond.
BOOST_AUTO_TEST_CASE(ARefusedConnectionHasAStepOfItsOwn) {
  serve();
  const std::string Address = address();
  stopServer();
  HttpConnectionPool Pool(m_Io, 1);
  BOOST_TEST(stepOf(call(Pool, Address)) == ConnectRefusedStep);
}

// Guards against a call that never ends because the peer stops responding.
BOOST_AUTO_TEST_CASE(ACallToAnUnresponsivePeerTimesOut) {
  serve();
  m_Hold = true;
  HttpConnectionPool Pool(m_Io, 1);
  BOOST_TEST(stepOf(call(Pool, address(), "", 50ms)) == "read response");
  m_Hold = false;
  BOOST_TEST(
      std::holds_alternative<HttpResponse>(call(Pool, address(), "", 2s)));
}

BOOST_AUTO_TEST_SUITE_END()
