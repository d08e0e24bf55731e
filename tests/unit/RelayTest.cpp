// Tests the faults that the relay injects. Process tests rely on them being
// exact.
#include "bench/Relay.h"
#include "core/SocketAddress.h"
#include "http/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

using namespace cyclamencroft;
using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// A target, a relay to it, and one relayed connection.
struct Relayed {
  boost::asio::io_context m_Io;
  Tcp::acceptor m_Acceptor{m_Io, *parseSocketAddress("127.0.0.1:0")};
  Relay m_Relay;
  Tcp::socket m_Client{m_Io};
  Tcp::socket m_Server{m_Io};

  Relayed() : m_Relay(options()) {
    m_Client.connect(*parseSocketAddress(m_Relay.address()));
    m_Server = m_Acceptor.accept();
  }
  RelayOptions options() const {
    RelayOptions Options;
    Options.m_Target =
        "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
    return Options;
  }
  unsigned mode(const std::string &Json) const {
    return httpCall(m_Relay.controlAddress(), "POST", "/mode", {}, Json,
                    milliseconds(5000))
        .value()
        .m_Status;
  }
  /// Returns the bytes that the target receives within \p Limit.
  std::string receive(std::size_t Bytes, Duration Limit) {
    std::string Buffer(Bytes, ' ');
    std::size_t Got = 0;
    boost::asio::async_read(m_Server, boost::asio::buffer(Buffer),
                            [&](ErrorCode, std::size_t N) { Got = N; });
    m_Io.restart();
    m_Io.run_for(Limit);
    m_Server.cancel();
    m_Io.restart();
    m_Io.run();
    return Buffer.substr(0, Got);
  }
  void send(const std::string &Text) {
    boost::asio::write(m_Client, boost::asio::buffer(Text));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Relays)

// Guards against a relay that alters, loses or reorders bytes, or that doesn't
// forward the end of a stream.
BOOST_AUTO_TEST_CASE(PassRelaysAllBytesAndEndOfStream) {
  Relayed Test;
  const std::string Large(3000000, 'x');
  auto Sender = std::async(std::launch::async, [&] {
    Test.send(Large + "end");
    Test.m_Client.shutdown(Tcp::socket::shutdown_send);
  });
  const std::string Got = Test.receive(3000003, std::chrono::seconds(8));
  Sender.get();
  BOOST_TEST(Got.size() == 3000003U);
  BOOST_TEST(Got.substr(3000000) == "end");
  char Byte = 0;
  ErrorCode Fault;
  boost::asio::read(Test.m_Server, boost::asio::buffer(&Byte, 1), Fault);
  BOOST_TEST((Fault == boost::asio::error::eof));
}

// Guards against a delay or stall that forwards bytes early or never resumes.
BOOST_AUTO_TEST_CASE(DelayAndStallWithholdBytes) {
  Relayed Test;
  BOOST_TEST(Test.mode(R"({"mode": "delay", "delay_ms": 200})") == 200U);
  Test.send("late");
  BOOST_TEST(Test.receive(4, milliseconds(120)) == "");
  BOOST_TEST(Test.receive(4, milliseconds(2000)) == "late");
  BOOST_TEST(Test.mode(R"({"mode": "stall"})") == 200U);
  Test.send("held");
  BOOST_TEST(Test.receive(4, milliseconds(120)) == "");
  BOOST_TEST(Test.mode(R"({"mode": "pass"})") == 200U);
  BOOST_TEST(Test.receive(4, milliseconds(2000)) == "held");
}

// Guards against a one-way stall that blocks the other direction as well.
BOOST_AUTO_TEST_CASE(OneWayStallBlocksOneDirection) {
  Relayed Test;
  BOOST_TEST(Test.mode(R"({"mode": "stall-down"})") == 200U);
  Test.send("up");
  BOOST_TEST(Test.receive(2, milliseconds(2000)) == "up");
  BOOST_TEST(Test.mode(R"({"mode": "stall-up"})") == 200U);
  Test.send("up");
  BOOST_TEST(Test.receive(2, milliseconds(120)) == "");
  BOOST_TEST(Test.mode(R"({"mode": "pass"})") == 200U);
  BOOST_TEST(Test.receive(2, milliseconds(2000)) == "up");
}

// Guards against connections that stay open after a cut or reset, or that are
// served while the mode is in effect.
BOOST_AUTO_TEST_CASE(CutAndResetCloseConnections) {
  for (const bool Reset : {false, true}) {
    Relayed Test;
    BOOST_TEST(Test.mode(Reset ? R"({"mode": "reset"})"
                               : R"({"mode": "cut"})") == 200U);
    char Byte = 0;
    ErrorCode Fault;
    boost::asio::read(Test.m_Client, boost::asio::buffer(&Byte, 1), Fault);
    const ErrorCode Expected =
        Reset ? ErrorCode(boost::asio::error::connection_reset)
              : ErrorCode(boost::asio::error::eof);
    BOOST_TEST(Fault == Expected);
    Tcp::socket Next(Test.m_Io);
    Next.connect(*parseSocketAddress(Test.m_Relay.address()), Fault);
    if (!Fault)
      boost::asio::read(Next, boost::asio::buffer(&Byte, 1), Fault);
    BOOST_TEST(Fault.failed());
  }
}

// Guards against accepting a mistyped mode, which would run a test without its
// fault.
BOOST_AUTO_TEST_CASE(InvalidModesAreRejected) {
  const Relayed Test;
  for (const char *Bad :
       {"", "{}", R"({"mode": "slow"})", R"({"mode": "delay"})",
        R"({"mode": "cut", "delay_ms": 5})",
        R"({"mode": "delay", "delay_ms": -1})"})
    BOOST_TEST(Test.mode(Bad) == 400U, Bad);
}

BOOST_AUTO_TEST_SUITE_END()
