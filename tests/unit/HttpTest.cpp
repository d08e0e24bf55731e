// HTTP server and client over loopback: limits, disconnects and errors.
#include "core/SocketAddress.h"
#include "http/HttpClient.h"
#include "http/HttpConnectionPool.h"
#include "http/HttpServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>
#include <thread>

using namespace cyclamencroft;
using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// A server that runs on two threads.
class RunningServer {
public:
  explicit RunningServer(HttpServer::Handler Handle,
                         const HttpServer::Limits &Limits = {})
      : m_Work(m_Io.get_executor()),
        m_Server(m_Io, "127.0.0.1:0", std::move(Handle), Limits) {
    for (std::thread &Thread : m_Threads)
      Thread = std::thread([this] { m_Io.run(); });
  }
  ~RunningServer() {
    m_Server.stop();
    m_Work.reset();
    for (std::thread &Thread : m_Threads)
      Thread.join();
  }
  RunningServer(const RunningServer &) = delete;
  RunningServer &operator=(const RunningServer &) = delete;

  HttpServer &server() { return m_Server; }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Server.port());
  }

private:
  boost::asio::io_context m_Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work;
  HttpServer m_Server;
  std::array<std::thread, 2> m_Threads;
};

void echo(const std::shared_ptr<HttpExchange> &Exchange) {
  Exchange->respond({200, {{"X-Seen", "yes"}}, Exchange->request().body()});
}

Tcp::socket connectTo(boost::asio::io_context &Io, std::uint16_t Port) {
  Tcp::socket Socket(Io);
  Socket.connect({boost::asio::ip::address_v4::loopback(), Port});
  return Socket;
}

/// Sends bytes and reads until the server closes.
std::string sendAndReadAll(std::uint16_t Port, const std::string &Bytes) {
  boost::asio::io_context Io;
  Tcp::socket Socket = connectTo(Io, Port);
  boost::system::error_code Ignored;
  boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
  std::string Answer;
  boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Ignored);
  return Answer;
}

std::string faultOf(HttpCall Call) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(httpCall(std::move(Call)));
        return std::string();
      },
      [](const Error &Fault) { return Fault.describe(); },
      [] { return std::string("error without text"); });
}

bool startsWith(const std::string &Text, const char *Start) {
  return Text.rfind(Start, 0) == 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Http)

// Guards against trailers and chunk extensions that no limit counts, in one
// piece or in many, against small chunks that the memory does not count, and
// against a chunked request within the limits that is refused.
BOOST_AUTO_TEST_CASE(EveryPartOfAChunkedRequestHasALimit) {
  HttpServer::Limits Limits;
  Limits.m_HeaderBytes = 1024;
  Limits.m_ReceiveBytes = std::size_t{64} * 1024;
  RunningServer Running(echo, Limits);
  const std::string Head = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Long(8192, 'x');
  std::string Lines;
  while (Lines.size() < Long.size())
    Lines += "X-Trailer: x\r\n";
  std::string SmallChunks;
  while (SmallChunks.size() < std::size_t{256} * 1024)
    SmallChunks += "1\r\nb\r\n";
  const auto Answer = [&](const std::string &Rest) {
    return sendAndReadAll(Running.server().port(), Head + Rest);
  };
  const std::string Served =
      Answer("1;e=1\r\na\r\n2\r\nbc\r\n0\r\nX-Trailer: x\r\n\r\n");
  BOOST_TEST(startsWith(Served, "HTTP/1.1 200"));
  BOOST_TEST(Served.substr(Served.size() - 3) == "abc");
  BOOST_TEST(startsWith(Answer("0\r\nX-Trailer: " + Long), "HTTP/1.1 431"));
  BOOST_TEST(startsWith(Answer("0\r\n" + Lines), "HTTP/1.1 431"));
  BOOST_TEST(startsWith(Answer("1;" + Long), "HTTP/1.1 431"));
  BOOST_TEST(startsWith(Answer(SmallChunks), "HTTP/1.1 503"));
  BOOST_TEST(Running.server().refusals().count(HttpRefusal::Header) == 3U);
  BOOST_TEST(Running.server().refusals().count(HttpRefusal::Memory) == 1U);
}

// Guards against bodies or headers lost between client, handler and response,
// also when the response comes from another thread.
BOOST_AUTO_TEST_CASE(ResponsesMayComeFromAnyThread) {
  std::vector<std::thread> Threads;
  RunningServer Running([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Threads.emplace_back([Exchange] { echo(Exchange); });
  });
  const std::string Body(100000, 'b');
  const HttpResponse Response =
      httpCall(Running.address(), "POST", "/x", {}, Body, milliseconds(5000))
          .value();
  BOOST_TEST(Response.m_Status == 200U);
  BOOST_TEST(Response.header("x-seen") == "yes");
  BOOST_TEST((Response.m_Body == Body));
  for (std::thread &Thread : Threads)
    Thread.join();
}

// Guards against responses that are mixed up on a connection that carries
// several requests, here pipelined.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  RunningServer Running(echo);
  const std::string Head =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n";
  const std::string Answer =
      sendAndReadAll(Running.server().port(),
                     Head + "\r\n1" + Head + "Connection: close\r\n\r\n2");
  const std::size_t First = Answer.find("\r\n\r\n1HTTP/1.1 200");
  BOOST_TEST(First != std::string::npos);
  BOOST_TEST(Answer.back() == '2');
}

// Guards against input that is accepted beyond its limit, or rejected without
// a response.
BOOST_AUTO_TEST_CASE(LimitsAreAnsweredWithTheirStatus) {
  HttpServer::Limits Limits;
  Limits.m_BodyBytes = 1000;
  Limits.m_RequestTimeout = milliseconds(100);
  RunningServer Running(echo, Limits);
  const std::uint16_t Port = Running.server().port();
  BOOST_TEST(
      startsWith(sendAndReadAll(Port, "nonsense\r\n\r\n"), "HTTP/1.1 400"));
  BOOST_TEST(startsWith(
      sendAndReadAll(Port, "GET / HTTP/1.1\r\nX: " + std::string(9000, 'h') +
                               "\r\n\r\n"),
      "HTTP/1.1 431"));
  BOOST_TEST(startsWith(sendAndReadAll(Port, "POST / HTTP/1.1\r\nHost: x\r\n"
                                             "Content-Length: 500000\r\n\r\n" +
                                                 std::string(500000, 'b')),
                        "HTTP/1.1 413"));
  BOOST_TEST(
      startsWith(sendAndReadAll(Port, "POST / HTTP/1.1\r\nContent-Length: 9\r\n"
                                      "\r\nslow"),
                 "HTTP/1.1 408"));
  BOOST_TEST(startsWith(sendAndReadAll(Port, "GET / HT"), "HTTP/1.1 408"));
}

// Guards against excess connections that exhaust the file descriptors.
BOOST_AUTO_TEST_CASE(ConnectionsBeyondTheLimitGet503) {
  HttpServer::Limits Limits;
  Limits.m_MaxConnections = 1;
  RunningServer Running(echo, Limits);
  boost::asio::io_context Io;
  Tcp::socket First = connectTo(Io, Running.server().port());
  boost::asio::write(First, boost::asio::buffer(std::string(
                                "GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  std::string Answer(12, ' ');
  boost::asio::read(First, boost::asio::buffer(Answer));
  BOOST_TEST(Answer == "HTTP/1.1 200");
  BOOST_TEST(
      startsWith(sendAndReadAll(Running.server().port(), ""), "HTTP/1.1 503"));
}

// Guards against work that continues for a caller that has disconnected, and
// against callers without a response when a handler drops the exchange.
BOOST_AUTO_TEST_CASE(DisconnectsAndDroppedExchangesAreDetected) {
  std::promise<void> Disconnected;
  std::promise<std::shared_ptr<HttpExchange>> Held;
  RunningServer Running([&](const std::shared_ptr<HttpExchange> &Exchange) {
    if (Exchange->request().target() == "/drop")
      return;
    Exchange->onDisconnect([&] { Disconnected.set_value(); });
    Held.set_value(Exchange);
  });
  BOOST_TEST(
      httpCall(Running.address(), "GET", "/drop", {}, "", milliseconds(5000))
          .value()
          .m_Status == 500U);
  boost::asio::io_context Io;
  Tcp::socket Caller = connectTo(Io, Running.server().port());
  boost::asio::write(Caller, boost::asio::buffer(std::string(
                                 "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n")));
  const auto Exchange = Held.get_future().get();
  Caller.close();
  const auto Detected =
      Disconnected.get_future().wait_for(std::chrono::seconds(5));
  BOOST_TEST((Detected == std::future_status::ready));
  Exchange->respond({});
  Exchange->respond({});
}

// Guards against a shutdown that truncates a response or leaves connections
// open.
BOOST_AUTO_TEST_CASE(StoppedServerEndsConnectionsAfterTheirResponse) {
  RunningServer *Server = nullptr;
  RunningServer Running([&](const std::shared_ptr<HttpExchange> &Exchange) {
    Server->server().stopAccepting();
    Exchange->respond({204, {}, "never sent"});
  });
  Server = &Running;
  const std::string Answer = sendAndReadAll(
      Running.server().port(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(startsWith(Answer, "HTTP/1.1 204"));
  BOOST_TEST(Answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(Answer.find("never sent") == std::string::npos);
}

// Guards against a client that accepts a truncated response as complete, or an
// error that doesn't show whether the request may have taken effect.
BOOST_AUTO_TEST_CASE(ClientErrorsNameTheStep) {
  boost::asio::io_context Io;
  Tcp::acceptor Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0});
  HttpCall Call;
  Call.m_Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  std::thread Truncating([&] {
    Tcp::socket Socket = Acceptor.accept();
    std::string Request(4, ' ');
    boost::asio::read(Socket, boost::asio::buffer(Request));
    boost::asio::write(Socket, boost::asio::buffer(std::string(
                                   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
                                   "\r\nhalf")));
    Socket.shutdown(Tcp::socket::shutdown_both);
  });
  BOOST_TEST(startsWith(faultOf(Call), "read response, 127.0.0.1:"));
  Truncating.join();
  Call.m_Timeout = milliseconds(100);
  BOOST_TEST(faultOf(Call).find("due to a timeout") != std::string::npos);
  Acceptor.close();
  BOOST_TEST(startsWith(faultOf(Call), "connect, 127.0.0.1:"));
  Call.m_Address = "localhost";
  BOOST_TEST(faultOf(Call) == "connect, localhost: the address is not IP:port");
}

// Guards against a crash when a call is cancelled on another thread while it
// ends on the thread of its io_context.
BOOST_AUTO_TEST_CASE(CallsMayBeCancelledOnAnotherThreadWhileTheyEnd) {
  RunningServer Running(echo);
  boost::asio::io_context Io(1);
  auto Work = boost::asio::make_work_guard(Io);
  std::thread Thread([&Io] { Io.run(); });
  HttpCall Call;
  Call.m_Address = Running.address();
  constexpr int Calls = 1000;
  std::vector<int> Ended(Calls);
  for (int I = 0; I < Calls; ++I) {
    const auto Cancel = httpCallAsync(
        Io, Call, [&Ended, I](const HttpOutcome &) { ++Ended.at(I); });
    // Moves the cancellation over every step of the call, which takes some
    // hundred microseconds.
    const TimePoint CancelAt =
        RuntimeClock::now() + std::chrono::microseconds(I % 500);
    while (RuntimeClock::now() < CancelAt) {
    }
    Cancel();
  }
  Work.reset();
  // Returns only when every call has ended.
  Thread.join();
  for (const int Count : Ended)
    BOOST_TEST(Count <= 1);
}

// Guards against a callback after a cancellation on the thread of the
// io_context, where the callback's owner may be destroyed next.
BOOST_AUTO_TEST_CASE(CallCancelledOnItsThreadReleasesTheCallbackAtOnce) {
  RunningServer Running(echo);
  boost::asio::io_context Io(1);
  HttpCall Call;
  Call.m_Address = Running.address();
  auto Owner = std::make_shared<int>(0);
  boost::asio::post(Io, [&] {
    const auto Cancel =
        httpCallAsync(Io, Call, [Owner](const HttpOutcome &) { ++*Owner; });
    Cancel();
    BOOST_TEST(Owner.use_count() == 1);
    Cancel();
  });
  Io.run();
  BOOST_TEST(*Owner == 0);
}

// Guards against callers that keep a connection to a server that is about to
// stop, and against refusing new connections, which the load balancer still
// sends.
BOOST_AUTO_TEST_CASE(ConnectionsEndAfterTheirResponseWhileNewOnesAreAccepted) {
  boost::asio::io_context Io(1);
  HttpServer Server(
      Io, "127.0.0.1:0",
      [](const std::shared_ptr<HttpExchange> &Exchange) {
        Exchange->respond({200, {}, ""});
      },
      HttpServer::Limits{});
  Server.closeAfterResponses();
  HttpCall Call;
  Call.m_Address = "127.0.0.1:" + std::to_string(Server.port());
  for (int Round = 0; Round < 2; ++Round) {
    std::optional<HttpOutcome> Outcome;
    HttpConnectionPool Pool(Io, 1);
    Pool.call(Call, [&](const HttpOutcome &Ended) { Outcome = Ended; });
    const TimePoint Limit = RuntimeClock::now() + std::chrono::seconds(5);
    while (!Outcome && RuntimeClock::now() < Limit)
      Io.run_one_for(milliseconds(50));
    BOOST_REQUIRE(Outcome.has_value());
    BOOST_REQUIRE(std::holds_alternative<HttpResponse>(*Outcome));
    const auto &Response = std::get<HttpResponse>(*Outcome);
    BOOST_TEST(Response.header("Connection") == "close");
  }
}

// Guards against handling a request whose caller disconnected before it was
// read, as happens when the server process stalls; the caller may have sent it
// again.
BOOST_AUTO_TEST_CASE(ARequestWhoseCallerHasDisconnectedIsNotHandled) {
  boost::asio::io_context Io(1);
  int Handled = 0;
  HttpServer Server(
      Io, "127.0.0.1:0",
      [&](const std::shared_ptr<HttpExchange> &Exchange) {
        ++Handled;
        Exchange->respond({200, {}, ""});
      },
      HttpServer::Limits{});
  boost::asio::io_context CallerIo;
  boost::asio::ip::tcp::socket Caller(CallerIo);
  Caller.connect(
      *parseSocketAddress("127.0.0.1:" + std::to_string(Server.port())));
  const std::string Request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  boost::asio::write(Caller, boost::asio::buffer(Request));
  Caller.close();
  Io.run_for(milliseconds(200));
  BOOST_TEST(Handled == 0);
}

BOOST_AUTO_TEST_SUITE_END()
