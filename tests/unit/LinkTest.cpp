// Links over loopback: order, reconnecting, and peers that violate the
// protocol.
#include "link/LinkClient.h"
#include "link/LinkCodec.h"
#include "link/LinkLimits.h"
#include "link/LinkServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

using namespace cyclamencroft;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Records what one side of a link reports.
struct LinkRecorder {
  std::vector<LinkId> m_Opened;
  std::vector<LinkId> m_Closed;
  std::vector<std::string> m_Reasons;
  std::vector<LinkMessage> m_Messages;
  std::size_t m_Frames = 0;

  LinkHandlers handlers() {
    return {[this](LinkId Link) { m_Opened.push_back(Link); },
            [this](LinkId, std::vector<LinkMessage> Messages) {
              ++m_Frames;
              m_Messages.insert(m_Messages.end(), Messages.begin(),
                                Messages.end());
            },
            [this](LinkId Link, std::string Reason) {
              m_Closed.push_back(Link);
              m_Reasons.push_back(std::move(Reason));
            }};
  }
};

/// Runs the loop until \p Done holds; fails the test after 10 s.
template <class F> void runUntil(boost::asio::io_context &Io, F Done) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Done()) {
    BOOST_REQUIRE(std::chrono::steady_clock::now() < End);
    Io.restart();
    Io.run_one_for(std::chrono::milliseconds(20));
  }
}

std::string addressOf(const LinkServer &Server) {
  return "127.0.0.1:" + std::to_string(Server.port());
}

/// TCP connection on which a test sends arbitrary bytes.
struct RawPeer {
  Tcp::socket m_Socket;

  RawPeer(boost::asio::io_context &Io, std::uint16_t Port) : m_Socket(Io) {
    m_Socket.connect({boost::asio::ip::address_v4::loopback(), Port});
  }
  void write(const std::string &Bytes) {
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes));
  }
  void handshake(boost::asio::io_context &Io) {
    write("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
          "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
          "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    runUntil(Io, [this] { return m_Socket.available() > 0; });
  }
  /// A masked binary frame of at most 125 bytes; the mask is zero.
  void frame(char Opcode, const std::string &Payload) {
    const char Length = static_cast<char>(0x80 | Payload.size());
    write(std::string{static_cast<char>(0x80 | Opcode), Length} +
          std::string(4, '\0') + Payload);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Link)

// Guards against messages of one send() that are split, lost or reordered, and
// against link ids that a client and a server share.
BOOST_AUTO_TEST_CASE(MessagesArriveInOrderAndInOneFrame) {
  boost::asio::io_context Io;
  LinkRecorder Accepting, Connecting;
  LinkServer Server(Io, "127.0.0.1:0", Accepting.handlers());
  LinkClient Client(Io, addressOf(Server), Connecting.handlers());
  Client.start();
  runUntil(Io, [&] {
    return !Accepting.m_Opened.empty() && !Connecting.m_Opened.empty();
  });
  BOOST_TEST((Accepting.m_Opened[0] != Connecting.m_Opened[0]));
  Client.send(Connecting.m_Opened[0], {Ping{1}, Ping{2}, Ping{3}});
  Server.send(Accepting.m_Opened[0], {Pong{4}, Heartbeat{5}});
  runUntil(Io,
           [&] { return Accepting.m_Frames == 1 && Connecting.m_Frames == 1; });
  BOOST_TEST(Accepting.m_Messages.size() == 3U);
  BOOST_TEST(std::get<Ping>(Accepting.m_Messages[2]).m_Number == 3U);
  BOOST_TEST(std::get<Heartbeat>(Connecting.m_Messages[1]).m_ConfigVersion ==
             5U);
  Server.close(Accepting.m_Opened[0], "bye");
  runUntil(Io, [&] {
    return !Connecting.m_Closed.empty() && !Accepting.m_Closed.empty();
  });
  BOOST_TEST(Connecting.m_Reasons[0] == "bye");
  // The client reconnects under a new id.
  runUntil(Io, [&] { return Connecting.m_Opened.size() == 2; });
  BOOST_TEST((Connecting.m_Opened[0] != Connecting.m_Opened[1]));
}

// Guards against messages of one send() that exceed the frame limit and make
// the receiver close the link.
BOOST_AUTO_TEST_CASE(LargeBatchesAreSplitIntoFrames) {
  boost::asio::io_context Io;
  LinkRecorder Accepting, Connecting;
  LinkServer Server(Io, "127.0.0.1:0", Accepting.handlers());
  LinkClient Client(Io, addressOf(Server), Connecting.handlers());
  Client.start();
  runUntil(Io, [&] { return !Connecting.m_Opened.empty(); });
  TaskResult Large;
  Large.m_Body = makePayload(std::string(std::size_t(256) * 1024, 'r'));
  Client.send(Connecting.m_Opened[0], std::vector<LinkMessage>(24, Large));
  runUntil(Io, [&] { return Accepting.m_Messages.size() == 24; });
  BOOST_TEST(Accepting.m_Frames == 2U);
  Dispatch TooLarge;
  TooLarge.m_Body = makePayload(std::string(MaxFrameBytes, 'd'));
  Client.send(Connecting.m_Opened[0], {TooLarge});
  runUntil(Io, [&] { return !Connecting.m_Closed.empty(); });
  BOOST_TEST(Connecting.m_Reasons[0].find("Dispatch of") == 0U);
}

// Guards against a client that stops reconnecting, or that reconnects without
// a delay, while an entry restarts.
BOOST_AUTO_TEST_CASE(ClientReconnectsWithGrowingDelays) {
  boost::asio::io_context Io;
  LinkRecorder Connecting;
  int Attempts = 0;
  Tcp::acceptor Refusing(Io, {boost::asio::ip::address_v4::loopback(), 0});
  const std::uint16_t Port = Refusing.local_endpoint().port();
  std::function<void()> Accept = [&] {
    Refusing.async_accept([&](boost::system::error_code Fault, Tcp::socket) {
      if (Fault)
        return;
      ++Attempts;
      Accept();
    });
  };
  Accept();
  LinkClient Client(Io, "127.0.0.1:" + std::to_string(Port),
                    Connecting.handlers());
  Client.start();
  Io.run_for(std::chrono::milliseconds(1500));
  // Expected about 6: the bounds are 0.1, 0.2, 0.4, 0.8, 1.6 and 2 s.
  BOOST_TEST(Attempts >= 2);
  BOOST_TEST(Attempts <= 25);
  Refusing.close();
  LinkRecorder Accepting;
  LinkServer Server(Io, "127.0.0.1:" + std::to_string(Port),
                    Accepting.handlers());
  runUntil(Io, [&] { return !Connecting.m_Opened.empty(); });
  Client.stop();
  runUntil(Io, [&] { return !Accepting.m_Closed.empty(); });
  BOOST_TEST(Connecting.m_Closed.empty());
}

// Guards against a link that stays open, or messages that are delivered to its
// owner, when the peer uses another protocol or sends invalid frames.
BOOST_AUTO_TEST_CASE(OtherProtocolsAndGarbageAreClosed) {
  boost::asio::io_context Io;
  LinkRecorder Accepting;
  LinkServer Server(Io, "127.0.0.1:0", Accepting.handlers());
  for (const char *Bytes : {"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n",
                            "\x16\x03\x01 tls\r\n\r\n"}) {
    RawPeer Peer(Io, Server.port());
    Peer.write(Bytes);
    std::string Answer;
    bool Ended = false;
    boost::asio::async_read_until(
        Peer.m_Socket, boost::asio::dynamic_buffer(Answer), "\r\n\r\n\r\n",
        [&](boost::system::error_code, std::size_t) { Ended = true; });
    runUntil(Io, [&] { return Ended; });
    BOOST_TEST(Answer.find("HTTP/1.1 4") == 0U);
  }
  BOOST_TEST(Accepting.m_Opened.empty());

  for (const bool Text : {true, false}) {
    RawPeer Peer(Io, Server.port());
    Peer.handshake(Io);
    Peer.frame(Text ? 1 : 2, "not cbor");
    const std::size_t Closed = Accepting.m_Closed.size();
    runUntil(Io, [&] { return Accepting.m_Closed.size() > Closed; });
  }
  BOOST_TEST(Accepting.m_Reasons[0].find("text frame") == 0U);
  BOOST_TEST(Accepting.m_Reasons[1].find("not a valid frame") == 0U);
  BOOST_TEST(Accepting.m_Messages.empty());
}

// Guards against a link that stays open but is no longer read, and against the
// end of the process, after an error in the handling of a message.
BOOST_AUTO_TEST_CASE(AnExceptionInAHandlerClosesTheLink) {
  boost::asio::io_context Io;
  LinkRecorder Accepting, Connecting;
  LinkHandlers Throwing = Accepting.handlers();
  Throwing.m_OnMessages = [](LinkId, const std::vector<LinkMessage> &) {
    throw std::runtime_error("unexpected");
  };
  LinkServer Server(Io, "127.0.0.1:0", std::move(Throwing));
  LinkClient Client(Io, addressOf(Server), Connecting.handlers());
  Client.start();
  runUntil(Io, [&] { return !Connecting.m_Opened.empty(); });
  Client.send(Connecting.m_Opened[0], {Ping{1}});
  runUntil(Io, [&] { return Accepting.m_Closed.size() == 1; });
  runUntil(Io, [&] { return Connecting.m_Opened.size() == 2; });
}

// Guards against a server that retries in a busy loop, or never accepts again,
// when the process has no file descriptor left.
BOOST_AUTO_TEST_CASE(AcceptingWaitsForADescriptor) {
  boost::asio::io_context Io;
  LinkRecorder Accepting;
  LinkServer Server(Io, "127.0.0.1:0", Accepting.handlers());
  Io.poll();
  RawPeer Peer(Io, Server.port());
  rlimit Usual{};
  BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &Usual) == 0);
  rlimit None = Usual;
  None.rlim_cur = 3;
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &None) == 0);
  Io.restart();
  const std::size_t Steps = Io.run_for(std::chrono::milliseconds(350));
  setrlimit(RLIMIT_NOFILE, &Usual);
  BOOST_TEST(Steps >= 2U);
  BOOST_TEST(Steps <= 20U);
  Peer.write("GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
             "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
             "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
  runUntil(Io, [&] { return Accepting.m_Opened.size() == 1; });
}

// Guards against memory that grows without bound for a peer that does not read.
BOOST_AUTO_TEST_CASE(SlowReadersAreClosed) {
  boost::asio::io_context Io;
  LinkRecorder Accepting;
  LinkServer Server(Io, "127.0.0.1:0", Accepting.handlers());
  RawPeer Peer(Io, Server.port());
  Peer.handshake(Io);
  runUntil(Io, [&] { return !Accepting.m_Opened.empty(); });
  ConfigTransfer Large{1, 1, "p", std::string(MaxFrameBytes / 4, 'd')};
  std::size_t Sent = 0;
  while (Accepting.m_Closed.empty() && Sent < 64) {
    Server.send(Accepting.m_Opened[0], {Large});
    ++Sent;
    Io.restart();
    Io.poll();
  }
  BOOST_TEST(Sent >= MaxQueuedBytes / Large.m_Document.size());
  BOOST_REQUIRE(Accepting.m_Closed.size() == 1U);
  BOOST_TEST(Accepting.m_Reasons[0] == "peer reads too slowly");
}

BOOST_AUTO_TEST_SUITE_END()
