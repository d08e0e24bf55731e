// One connection of the HTTP server. Private to src/http/; includes Beast.
// HttpSession.cpp reads requests, HttpSessionResponse.cpp writes responses.
#pragma once

#include "core/RuntimeTimer.h"
#include "http/HttpServer.h"
#include "http/ReceiveBudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace cyclamencroft {

class HttpSession;

/// State that the sessions of one server share.
struct HttpServerState {
  HttpServerState(HttpServer::Handler Handle, HttpServer::Limits Limits)
      : m_Handle(std::move(Handle)), m_Limits(std::move(Limits)),
        m_Budget(m_Limits.m_ReceiveBytes) {}

  const HttpServer::Handler m_Handle;
  const HttpServer::Limits m_Limits;
  HttpRefusals m_Refusals;
  /// Set by closeAfterResponses() and stopAccepting(): connections are closed
  /// after their response.
  std::atomic<bool> m_Draining{false};

  std::mutex m_Mutex;
  /// Guarded by m_Mutex. The destructor of a session removes it.
  std::unordered_map<const void *, std::weak_ptr<HttpSession>> m_Sessions;
  /// Guarded by m_Mutex.
  ReceiveBudget m_Budget;
};

/// A session runs on its strand; only respond(), close(), closeIfIdle() and
/// refuseForMemory() may be called from outside it.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

  HttpSession(Socket Connection, std::shared_ptr<HttpServerState> Server);
  ~HttpSession();
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  /// Reads the first request, or answers 503 when \p Refused.
  void start(bool Refused);

  /// Sends the response to request number \p RequestNumber; ignored when
  /// another request is being handled, or none.
  void respond(std::uint64_t RequestNumber, HttpResponse Response);

  void close();
  /// Closes a connection on which no request has begun.
  void closeIfIdle();
  /// Refuses the request that is being received.
  void refuseForMemory();

private:
  using ErrorCode = boost::system::error_code;
  class Exchange;

  void awaitRequest();
  void readRequest();
  void parseInput();
  void readMore();
  void inputRead(ErrorCode Fault);
  /// Memory that the request takes so far.
  std::size_t receivedBytes() const;
  void releaseSpareBuffer();
  void chargeBudget();
  void releaseBudget();
  void refuseRequest(ErrorCode Fault);
  void refuse(unsigned Status, const std::string &Text, HttpRefusal Cause);
  void handleRequest();
  void watchForDisconnect();
  void callerReadable();
  void write(HttpResponse Response, bool KeepAlive);
  void written(bool KeepAlive);
  void discardInput();
  void closeSocket();
  void armTimer(Duration Limit);
  void stopTimer();

  Socket m_Socket;
  std::shared_ptr<HttpServerState> m_Server;
  boost::asio::basic_waitable_timer<RuntimeClock, RuntimeWaitTraits, Strand>
      m_Timer;
  /// Holds what the parser has not consumed yet: at most a header, a trailer or
  /// the line before a chunk.
  boost::beast::flat_buffer m_Buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      m_Parser;
  std::optional<boost::beast::http::response<boost::beast::http::string_body>>
      m_Response;
  std::weak_ptr<Exchange> m_Exchange;
  /// Number of the request being read or answered; the first is 1.
  std::uint64_t m_RequestNumber = 0;
  /// True from the end of a request to the start of its response.
  bool m_Handling = false;
  bool m_KeepAlive = false;
  /// True while the first byte of a request is awaited.
  bool m_Idle = false;
  bool m_TimedOut = false;
  /// The server has selected this connection to free memory.
  bool m_ExceedsMemory = false;
  /// Incremented when the timer is armed or stopped, so that an expiry queued
  /// before has no effect.
  std::uint64_t m_TimerGeneration = 0;
};

} // namespace cyclamencroft
