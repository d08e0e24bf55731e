// HTTP exchange with an endpoint. The outcome depends on the stage at which the
// exchange ends: before the first byte is written, the task has not run; after
// that, a lost connection or a timeout makes the outcome unknown; a response
// that is malformed, truncated or too large is a failure.
#include "agent/EndpointConnection.h"

#include "telemetry/Traceparent.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace cyclamencroft {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::error_code;
using Tcp = asio::ip::tcp;
using Timer = asio::basic_waitable_timer<RuntimeClock>;
using RequestMessage = http::request<http::string_body>;
using ResponseParser = http::response_parser<http::string_body>;

constexpr std::uint32_t HeaderLimit = 8 * 1024;
constexpr unsigned HttpVersion = 11;
constexpr std::uint16_t FirstServerError = 500;

std::optional<Tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  error_code Fault;
  const auto Ip = asio::ip::make_address(Text.substr(0, Colon), Fault);
  const unsigned long Port =
      std::strtoul(Text.c_str() + Colon + 1, nullptr, 10);
  constexpr unsigned long MaxPort = 65535;
  if (Fault || Port == 0 || Port > MaxPort)
    return std::nullopt;
  return Tcp::endpoint(Ip, static_cast<std::uint16_t>(Port));
}

RequestMessage makeRequest(const StartRun &Run) {
  RequestMessage Request(http::verb::post, "/run", HttpVersion);
  Request.set(http::field::host, Run.m_EndpointAddress);
  Request.set(http::field::content_type, "application/octet-stream");
  Request.set("traceparent", formatTraceparent(Run.m_Trace));
  Request.set("Cyclamencroft-Request-Id", Run.m_Request.toHex());
  Request.set("Cyclamencroft-Task-Index", std::to_string(Run.m_TaskIndex));
  Request.body() = std::string(bytesOf(Run.m_Body));
  Request.prepare_payload();
  return Request;
}

/// True when the connection ended before any byte of a response, or was reset.
bool isLostConnection(const error_code &Fault) {
  return Fault == http::error::end_of_stream ||
         Fault.category() == boost::system::system_category();
}

} // namespace

class EndpointConnection::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, std::string Address)
      : m_Address(std::move(Address)), m_Socket(Io), m_Timer(Io) {}

  void start(const StartRun &Run, Ended Done) {
    m_Run = Run.m_Run;
    m_Deadline = Run.m_Deadline;
    m_Done = std::move(Done);
    m_Sent = false;
    m_Request = makeRequest(Run);
    if (m_Socket.is_open())
      asio::post(m_Socket.get_executor(),
                 [Self = shared_from_this()] { Self->write(); });
    else
      connect();
  }

  void abort() {
    error_code Ignored;
    m_Socket.close(Ignored);
    asio::post(m_Socket.get_executor(),
               [Self = shared_from_this()] { Self->endWithoutResponse(); });
  }

  void detach() {
    m_Done = nullptr;
    m_Timer.cancel();
    error_code Ignored;
    m_Socket.close(Ignored);
  }

  bool isIdle() {
    error_code Fault;
    char Byte = 0;
    m_Socket.non_blocking(true, Fault);
    m_Socket.receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek, Fault);
    return Fault == asio::error::would_block;
  }

  const std::string &address() const { return m_Address; }

private:
  void connect() {
    const auto Peer = parseAddress(m_Address);
    if (!Peer) {
      asio::post(m_Socket.get_executor(),
                 [Self = shared_from_this()] { Self->endWithoutResponse(); });
      return;
    }
    armTimer(std::min(m_Deadline, RuntimeClock::now() + ConnectLimit));
    m_Socket.async_connect(
        *Peer, [Self = shared_from_this()](const error_code &Fault) {
          if (Fault)
            return Self->endWithoutResponse();
          error_code Ignored;
          Self->m_Socket.set_option(Tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

  // The process may have been frozen since the core decided to start the task,
  // so the deadline is checked once more before the first byte.
  void write() {
    if (!m_Done)
      return;
    if (!m_Socket.is_open() || RuntimeClock::now() >= m_Deadline)
      return endWithoutResponse();
    armTimer(m_Deadline);
    m_Sent = true;
    http::async_write(
        m_Socket, m_Request,
        [Self = shared_from_this()](const error_code &Fault, std::size_t) {
          if (Fault)
            return Self->endWithoutResponse();
          Self->readHeader();
        });
  }

  void readHeader() {
    m_Parser.emplace();
    m_Parser->body_limit(MaxResponseBytes);
    m_Parser->header_limit(HeaderLimit);
    http::async_read_header(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](const error_code &Fault, std::size_t) {
          if (Fault)
            return Self->endWithReadError(Fault);
          if (!Self->m_Parser->content_length())
            return Self->end(Outcome::Failed, false);
          Self->readBody();
        });
  }

  void readBody() {
    http::async_read(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](const error_code &Fault, std::size_t) {
          if (Fault)
            return Self->endWithReadError(Fault);
          Self->endWithResponse();
        });
  }

  void endWithResponse() {
    const auto &Response = m_Parser->get();
    const bool Reusable = Response.keep_alive() && m_Buffer.size() == 0;
    const bool Failed = Response.result_int() >= FirstServerError;
    end(Failed ? Outcome::Failed : Outcome::Completed, Reusable);
  }

  void endWithReadError(const error_code &Fault) {
    if (isLostConnection(Fault))
      return endWithoutResponse();
    end(Outcome::Failed, false);
  }

  /// Ends a request whose response can't be obtained.
  void endWithoutResponse() {
    end(m_Sent ? Outcome::Unknown : Outcome::NotRun, false);
  }

  void end(Outcome RunOutcome, bool Reusable) {
    if (!m_Done)
      return;
    // A timer handler that is already queued then finds that the expiry time is
    // not reached, and does nothing.
    m_Timer.expires_at(TimePoint::max());
    RunEnded Run{m_Run, RunOutcome, 0, nullptr};
    if (m_Parser && m_Parser->is_done()) {
      Run.m_HttpStatus =
          static_cast<std::uint16_t>(m_Parser->get().result_int());
      Run.m_Body = makePayload(std::move(m_Parser->get().body()));
    }
    m_Parser.reset();
    if (!Reusable) {
      error_code Ignored;
      m_Socket.close(Ignored);
    }
    const Ended Done = std::exchange(m_Done, nullptr);
    Done(std::move(Run), Reusable);
  }

  void armTimer(TimePoint When) {
    m_Timer.expires_at(When);
    m_Timer.async_wait([Self = shared_from_this()](const error_code &Fault) {
      if (Fault || !Self->m_Done ||
          RuntimeClock::now() < Self->m_Timer.expiry())
        return;
      Self->endWithoutResponse();
    });
  }

  const std::string m_Address;
  Tcp::socket m_Socket;
  Timer m_Timer;
  RunId m_Run{};
  TimePoint m_Deadline{};
  /// Set while a request is in flight.
  Ended m_Done;
  /// A byte of the current request may have been written.
  bool m_Sent = false;
  RequestMessage m_Request;
  boost::beast::flat_buffer m_Buffer;
  /// Set from when the request has been written until it ends.
  std::optional<ResponseParser> m_Parser;
};

EndpointConnection::EndpointConnection(asio::io_context &Io,
                                       std::string Address)
    : m_Impl(std::make_shared<Impl>(Io, std::move(Address))) {}

EndpointConnection::~EndpointConnection() { m_Impl->detach(); }

void EndpointConnection::start(const StartRun &Run, Ended Done) {
  m_Impl->start(Run, std::move(Done));
}

void EndpointConnection::abort() { m_Impl->abort(); }

bool EndpointConnection::isIdle() { return m_Impl->isIdle(); }

const std::string &EndpointConnection::address() const {
  return m_Impl->address();
}

} // namespace cyclamencroft
