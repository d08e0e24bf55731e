// Reads requests one at a time; while one is handled, the socket is watched for
// a disconnect of the caller.
#include "http/HttpSession.h"

#include "telemetry/EventLog.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <exception>
#include <vector>

#include <sys/socket.h>

namespace cyclamencroft {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t ReadBytes = 4096;
constexpr std::size_t BodyReadBytes = std::size_t{16} * 1024;
HttpResponse plainResponse(unsigned Status, const std::string &Text) {
  return {Status, {{"Content-Type", "text/plain"}}, Text + "\n"};
}

enum class Peeked { Data, Nothing, End };

/// Result of the next read from a socket, determined without reading.
Peeked peek(int Socket) {
  char Byte = 0;
  const ssize_t Bytes =
      recv(Socket, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT);
  if (Bytes > 0)
    return Peeked::Data;
  const bool Waits = Bytes < 0 && (errno == EAGAIN || errno == EINTR);
  return Waits ? Peeked::Nothing : Peeked::End;
}

} // namespace

class HttpSession::Exchange : public HttpExchange {
public:
  Exchange(std::shared_ptr<HttpSession> Session, std::uint64_t RequestNumber,
           HttpRequest Request)
      : m_Session(std::move(Session)), m_RequestNumber(RequestNumber),
        m_Request(std::move(Request)) {}

  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  ~Exchange() override {
    if (!m_Answered.exchange(true))
      m_Session->respond(m_RequestNumber, plainResponse(500, "no response"));
  }

  const HttpRequest &request() const override { return m_Request; }

  void respond(HttpResponse Response) override {
    if (!m_Answered.exchange(true))
      m_Session->respond(m_RequestNumber, std::move(Response));
  }

  void onDisconnect(std::function<void()> Callback) override {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    if (m_Disconnected) {
      Lock.unlock();
      return Callback();
    }
    m_OnDisconnect = std::move(Callback);
  }

  void reportDisconnect() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Disconnected = true;
    const auto Callback = std::exchange(m_OnDisconnect, nullptr);
    Lock.unlock();
    if (Callback && !m_Answered)
      Callback();
  }

private:
  const std::shared_ptr<HttpSession> m_Session;
  const std::uint64_t m_RequestNumber;
  const HttpRequest m_Request;
  std::atomic<bool> m_Answered{false};
  std::mutex m_Mutex;
  /// Guarded by m_Mutex.
  bool m_Disconnected = false;
  std::function<void()> m_OnDisconnect;
};

HttpSession::HttpSession(Socket Connection,
                         std::shared_ptr<HttpServerState> Server)
    : m_Socket(std::move(Connection)), m_Server(std::move(Server)),
      m_Timer(m_Socket.get_executor()),
      m_Buffer(m_Server->m_Limits.m_HeaderBytes + ReadBytes) {}

HttpSession::~HttpSession() {
  const std::lock_guard<std::mutex> Lock(m_Server->m_Mutex);
  m_Server->m_Sessions.erase(this);
  m_Server->m_Budget.release(this);
}

void HttpSession::start(bool Refused) {
  ErrorCode Ignored;
  m_Socket.set_option(tcp::no_delay(true), Ignored);
  boost::asio::dispatch(
      m_Socket.get_executor(), [Self = shared_from_this(), Refused] {
        if (Refused)
          Self->refuse(503, "too many connections", HttpRefusal::Connections);
        else
          Self->awaitRequest();
      });
}

void HttpSession::awaitRequest() {
  ++m_RequestNumber;
  if (m_Buffer.size() != 0)
    return readRequest();
  // While the server drains, a connection is closed here, unless the next
  // request has begun.
  if (m_Server->m_Draining && m_RequestNumber > 1)
    return closeSocket();
  m_Idle = true;
  armTimer(m_Server->m_Limits.m_IdleTimeout);
  m_Socket.async_read_some(
      m_Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](ErrorCode Fault, std::size_t Bytes) {
        Self->m_Idle = false;
        if (Fault)
          return Self->closeSocket();
        Self->m_Buffer.commit(Bytes);
        Self->readRequest();
      });
}

void HttpSession::readRequest() {
  m_Parser.emplace();
  m_ExceedsMemory = false;
  m_Parser->header_limit(
      static_cast<std::uint32_t>(m_Server->m_Limits.m_HeaderBytes));
  m_Parser->body_limit(m_Server->m_Limits.m_BodyBytes);
  // Otherwise the parser stops after the header.
  m_Parser->eager(true);
  armTimer(m_Server->m_Limits.m_RequestTimeout);
  parseInput();
}

/// Reads and parses piece by piece, so that the memory of the request is
/// counted after each piece: Beast's own read operations go on while a piece
/// ends within a chunk's line, which a sender of small chunks can bring about
/// for ever.
void HttpSession::parseInput() {
  ErrorCode Fault;
  std::size_t Parsed = 1;
  while (m_Buffer.size() != 0 && Parsed != 0 && !Fault &&
         !m_Parser->is_done()) {
    Parsed = m_Parser->put(m_Buffer.data(), Fault);
    m_Buffer.consume(Parsed);
  }
  if (Fault && Fault != http::error::need_more) {
    stopTimer();
    return refuseRequest(Fault);
  }
  if (m_Parser->is_done()) {
    stopTimer();
    releaseSpareBuffer();
    chargeBudget();
    return handleRequest();
  }
  if (m_Buffer.size() == m_Buffer.max_size()) {
    stopTimer();
    return refuseRequest(http::error::buffer_overflow);
  }
  chargeBudget();
  readMore();
}

void HttpSession::readMore() {
  const std::size_t Wanted =
      m_Parser->is_header_done() ? BodyReadBytes : ReadBytes;
  const std::size_t Free = m_Buffer.max_size() - m_Buffer.size();
  m_Socket.async_read_some(
      m_Buffer.prepare(std::min(Wanted, Free)),
      [Self = shared_from_this()](ErrorCode Fault, std::size_t Bytes) {
        Self->m_Buffer.commit(Bytes);
        Self->inputRead(Fault);
      });
}

void HttpSession::inputRead(ErrorCode Fault) {
  if (m_ExceedsMemory) {
    stopTimer();
    return refuse(503, "too many requests are being received",
                  HttpRefusal::Memory);
  }
  if (!Fault && !m_TimedOut)
    return parseInput();
  stopTimer();
  refuseRequest(Fault);
}

/// What was read beyond the request, a pipelined one, is kept.
void HttpSession::releaseSpareBuffer() {
  if (m_Buffer.size() == 0)
    m_Buffer.shrink_to_fit();
}

std::size_t HttpSession::receivedBytes() const {
  // A declared body is reserved at once, but takes memory as it arrives.
  const std::string &Body = m_Parser->get().body();
  return m_Buffer.capacity() + std::min(Body.capacity(), 2 * Body.size());
}

/// May select this connection or others to be refused.
void HttpSession::chargeBudget() {
  std::vector<std::shared_ptr<HttpSession>> Refused;
  {
    const std::lock_guard<std::mutex> Lock(m_Server->m_Mutex);
    for (const ReceiveBudget::Connection Each : m_Server->m_Budget.receive(
             this, RuntimeClock::now(), receivedBytes(), m_Parser->is_done()))
      if (auto Session = m_Server->m_Sessions.at(Each).lock())
        Refused.push_back(std::move(Session));
  }
  for (const auto &Session : Refused)
    Session->refuseForMemory();
}

void HttpSession::releaseBudget() {
  const std::lock_guard<std::mutex> Lock(m_Server->m_Mutex);
  m_Server->m_Budget.release(this);
}

void HttpSession::refuseForMemory() {
  boost::asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    // The request may have been completed, refused or cut off meanwhile.
    if (Self->m_Handling || Self->m_Response || !Self->m_Parser)
      return;
    Self->m_ExceedsMemory = true;
    ErrorCode Ignored;
    Self->m_Socket.cancel(Ignored); // Ends the read of readMore().
  });
}

void HttpSession::refuseRequest(ErrorCode Fault) {
  if (m_TimedOut)
    return refuse(408, "request took too long to arrive", HttpRefusal::Timeout);
  if (Fault == http::error::header_limit ||
      Fault == http::error::buffer_overflow)
    return refuse(431, "header, trailer or chunk extension exceeds the limit",
                  HttpRefusal::Header);
  if (Fault == http::error::body_limit)
    return refuse(413, "request body exceeds the limit", HttpRefusal::Body);
  const bool Malformed =
      Fault.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      Fault != http::error::end_of_stream &&
      Fault != http::error::partial_message;
  if (Malformed)
    return refuse(400, "malformed request: " + Fault.message(),
                  HttpRefusal::Malformed);
  closeSocket();
}

void HttpSession::refuse(unsigned Status, const std::string &Text,
                         HttpRefusal Cause) {
  m_Server->m_Refusals.record(Cause, RuntimeClock::now());
  // Nothing of the request is needed any more.
  m_Parser.reset();
  releaseBudget();
  HttpResponse Response = plainResponse(Status, Text);
  for (const auto &Header : m_Server->m_Limits.m_RefusalHeaders)
    Response.m_Headers.push_back(Header);
  write(std::move(Response), false);
}

/// A request whose caller has disconnected is dropped: after a stall of this
/// process, callers may have disconnected and sent their requests elsewhere.
void HttpSession::handleRequest() {
  if (peek(m_Socket.native_handle()) == Peeked::End) {
    const auto Target = m_Parser->get().target();
    logEvent(
        LogLevel::Info, "request-dropped",
        {{"path", std::string(Target.data(), Target.size())},
         {"reason", "the caller disconnected before the request was read"}});
    return closeSocket();
  }
  m_KeepAlive = m_Parser->get().keep_alive();
  m_Handling = true;
  const auto Pending = std::make_shared<Exchange>(
      shared_from_this(), m_RequestNumber, m_Parser->release());
  m_Exchange = Pending;
  watchForDisconnect();
  try {
    m_Server->m_Handle(Pending);
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "http-handler-failed",
             {{"reason", Fault.what()}});
    Pending->respond(plainResponse(500, "internal error"));
  }
}

void HttpSession::watchForDisconnect() {
  m_Socket.async_wait(tcp::socket::wait_read, [Self = shared_from_this(),
                                               RequestNumber = m_RequestNumber](
                                                  ErrorCode Fault) {
    if (!Fault && Self->m_Handling && RequestNumber == Self->m_RequestNumber)
      Self->callerReadable();
  });
}

/// Input is a pipelined request, after which a disconnect isn't detected before
/// the response. The end of the stream is a disconnect.
void HttpSession::callerReadable() {
  const Peeked Next = peek(m_Socket.native_handle());
  if (Next == Peeked::Data)
    return;
  if (Next == Peeked::Nothing)
    return watchForDisconnect();
  if (const auto Pending = m_Exchange.lock())
    Pending->reportDisconnect();
}

void HttpSession::close() {
  boost::asio::dispatch(m_Socket.get_executor(),
                        [Self = shared_from_this()] { Self->closeSocket(); });
}

void HttpSession::closeIfIdle() {
  boost::asio::dispatch(m_Socket.get_executor(), [Self = shared_from_this()] {
    if (Self->m_Idle)
      Self->closeSocket();
  });
}

void HttpSession::closeSocket() {
  m_Handling = false;
  releaseBudget();
  stopTimer();
  ErrorCode Ignored;
  m_Socket.close(Ignored);
}

/// The pending read or write is cancelled after \p Limit.
void HttpSession::armTimer(Duration Limit) {
  stopTimer();
  m_TimedOut = false;
  m_Timer.expires_after(Limit);
  m_Timer.async_wait([Weak = weak_from_this(),
                      Generation = m_TimerGeneration](ErrorCode Fault) {
    const auto Self = Weak.lock();
    if (Fault || !Self || Generation != Self->m_TimerGeneration)
      return;
    Self->m_TimedOut = true;
    ErrorCode Ignored;
    Self->m_Socket.cancel(Ignored);
  });
}

/// A handler that is already queued can't be cancelled; the new generation
/// makes it return without effect.
void HttpSession::stopTimer() {
  ++m_TimerGeneration;
  m_Timer.cancel();
}

} // namespace cyclamencroft
