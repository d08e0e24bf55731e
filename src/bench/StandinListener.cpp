// Implements the listener and its HTTP sessions with Boost.Beast.
#include "bench/StandinListener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

namespace cyclamencroft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::error_code;
using Tcp = asio::ip::tcp;

constexpr unsigned HttpVersion = 11;

Tcp::endpoint parseListen(const std::string &Listen) {
  const std::size_t Colon = Listen.rfind(':');
  error_code Fault;
  const auto Ip = asio::ip::make_address(Listen.substr(0, Colon), Fault);
  if (Fault || Colon == std::string::npos)
    throw std::runtime_error("listen address '" + Listen +
                             "' is not of the form IP:port");
  const unsigned long Port =
      std::strtoul(Listen.c_str() + Colon + 1, nullptr, 10);
  return {Ip, static_cast<std::uint16_t>(Port)};
}

class Session : public StandinExchange,
                public std::enable_shared_from_this<Session> {
public:
  using Closed = std::function<void(Session *)>;

  Session(Tcp::socket Socket, StandinListener::Handler Handle, Closed OnClosed)
      : m_Socket(std::move(Socket)), m_Handle(std::move(Handle)),
        m_OnClosed(std::move(OnClosed)) {}

  void read() {
    m_Message = {};
    http::async_read(
        m_Socket, m_Buffer, m_Message,
        [Self = shared_from_this()](const error_code &Fault, std::size_t) {
          if (Fault)
            return Self->close();
          Self->handle();
        });
  }

  void close() {
    error_code Ignored;
    m_Socket.close(Ignored);
    if (const auto OnEarlyClose = std::exchange(m_OnEarlyClose, nullptr))
      OnEarlyClose();
    if (const auto OnClosed = std::exchange(m_OnClosed, nullptr))
      OnClosed(this);
  }

  const StandinRequest &request() const override { return m_Request; }

  void onDisconnect(std::function<void()> Callback) override {
    m_OnEarlyClose = std::move(Callback);
    watchForClose();
  }

  void respond(unsigned Status, std::string Body) override {
    m_OnEarlyClose = nullptr;
    m_Response = {};
    m_Response.version(HttpVersion);
    m_Response.result(Status);
    m_Response.body() = std::move(Body);
    m_Response.prepare_payload();
    http::async_write(
        m_Socket, m_Response,
        [Self = shared_from_this()](const error_code &Fault, std::size_t) {
          if (Fault)
            return Self->close();
          Self->read();
        });
  }

  void respondTruncated(std::string Body) override {
    m_OnEarlyClose = nullptr;
    m_Raw = "HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(Body.size() + 2) + "\r\n\r\n" +
            Body.substr(0, Body.size() / 2);
    asio::async_write(m_Socket, asio::buffer(m_Raw),
                      [Self = shared_from_this()](
                          const error_code &, std::size_t) { Self->close(); });
  }

private:
  void handle() {
    m_Request.m_Method = std::string(m_Message.method_string());
    m_Request.m_Target = std::string(m_Message.target());
    m_Request.m_RequestId = std::string(m_Message["Cyclamencroft-Request-Id"]);
    m_Request.m_TaskIndex = std::string(m_Message["Cyclamencroft-Task-Index"]);
    m_Request.m_Body = std::move(m_Message.body());
    m_Handle(shared_from_this());
  }

  // Detects that the peer closes the connection while the response is pending.
  // The agent doesn't pipeline requests, so a readable socket means the end of
  // the stream.
  void watchForClose() {
    m_Socket.async_wait(Tcp::socket::wait_read,
                        [Self = shared_from_this()](const error_code &Fault) {
                          if (!Fault && Self->m_OnEarlyClose)
                            Self->close();
                        });
  }

  Tcp::socket m_Socket;
  StandinListener::Handler m_Handle;
  Closed m_OnClosed;
  boost::beast::flat_buffer m_Buffer;
  http::request<http::string_body> m_Message;
  StandinRequest m_Request;
  http::response<http::string_body> m_Response;
  std::string m_Raw;
  /// Callback of onDisconnect(); null after the response or the close.
  std::function<void()> m_OnEarlyClose;
};

} // namespace

class StandinListener::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, const std::string &Listen, Handler Handle)
      : m_Handle(std::move(Handle)), m_Acceptor(Io) {
    const Tcp::endpoint Local = parseListen(Listen);
    error_code Fault;
    m_Acceptor.open(Local.protocol(), Fault);
    if (!Fault)
      m_Acceptor.set_option(Tcp::acceptor::reuse_address(true), Fault);
    if (!Fault)
      m_Acceptor.bind(Local, Fault);
    if (!Fault)
      m_Acceptor.listen(asio::socket_base::max_listen_connections, Fault);
    if (Fault)
      throw std::runtime_error("listen on " + Listen + ": " + Fault.message());
  }

  void accept() {
    m_Acceptor.async_accept([Self = shared_from_this()](const error_code &Fault,
                                                        Tcp::socket Socket) {
      if (Fault)
        return;
      Self->open(std::move(Socket));
      Self->accept();
    });
  }

  void stop() {
    error_code Ignored;
    m_Acceptor.close(Ignored);
    const auto Sessions = std::exchange(m_Sessions, {});
    for (const auto &Open : Sessions)
      Open->close();
  }

  std::string address() const {
    const Tcp::endpoint Local = m_Acceptor.local_endpoint();
    return Local.address().to_string() + ":" + std::to_string(Local.port());
  }

  std::uint32_t peak() const { return m_Peak; }
  std::uint32_t accepted() const { return m_Accepted; }

private:
  void open(Tcp::socket Socket) {
    error_code Ignored;
    Socket.set_option(Tcp::no_delay(true), Ignored);
    auto Opened =
        std::make_shared<Session>(std::move(Socket), m_Handle,
                                  [Weak = weak_from_this()](Session *Closed) {
                                    if (const auto Self = Weak.lock())
                                      Self->removeSession(Closed);
                                  });
    m_Sessions.insert(Opened);
    ++m_Accepted;
    m_Peak = std::max(m_Peak, static_cast<std::uint32_t>(m_Sessions.size()));
    Opened->read();
  }

  void removeSession(Session *Closed) {
    m_Sessions.erase(
        std::static_pointer_cast<Session>(Closed->shared_from_this()));
  }

  Handler m_Handle;
  Tcp::acceptor m_Acceptor;
  std::set<std::shared_ptr<Session>> m_Sessions;
  std::uint32_t m_Peak = 0;
  std::uint32_t m_Accepted = 0;
};

StandinListener::StandinListener(asio::io_context &Io,
                                 const std::string &Listen, Handler Handle)
    : m_Impl(std::make_shared<Impl>(Io, Listen, std::move(Handle))) {
  m_Impl->accept();
}

StandinListener::~StandinListener() { stop(); }

std::string StandinListener::address() const { return m_Impl->address(); }

std::uint32_t StandinListener::peakConnections() const {
  return m_Impl->peak();
}

std::uint32_t StandinListener::acceptedConnections() const {
  return m_Impl->accepted();
}

void StandinListener::stop() { m_Impl->stop(); }

} // namespace cyclamencroft
