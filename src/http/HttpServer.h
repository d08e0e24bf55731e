// HTTP/1.1 server with limits on everything that a caller can send.
#pragma once

#include "core/RuntimeClock.h"
#include "http/HttpRefusals.h"
#include "http/HttpTypes.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

/// One request and its pending response. Thread-safe.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;

  /// Sends the response; calls after the first are ignored. Content-Length and
  /// Connection are added. The response is 500 when the last reference to the
  /// exchange is released without a call.
  virtual void respond(HttpResponse Response) = 0;

  /// \p Callback is called once, on an I/O thread, when the caller's connection
  /// closes before respond(); immediately, on the calling thread, when the
  /// connection has closed already.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

class HttpServer {
public:
  struct Limits {
    /// Also bounds trailers and the extensions of a chunk.
    std::size_t m_HeaderBytes = std::size_t(8) * 1024;
    std::size_t m_BodyBytes = std::size_t(1024) * 1024;
    /// Memory for requests of all connections that are being received or
    /// handled. When it runs short, the connections that hold the most for the
    /// longest receive status 503 and are closed.
    std::size_t m_ReceiveBytes = std::size_t(16) * 1024 * 1024;
    /// Connections above this number receive status 503 and are closed.
    std::size_t m_MaxConnections = 4096;
    /// From the first byte of a request to its last; status 408 after that.
    Duration m_RequestTimeout{std::chrono::seconds(5)};
    /// From the start of a response until all of it is written to the socket.
    Duration m_ResponseTimeout{std::chrono::seconds(30)};
    /// A connection without a request is closed after this long.
    Duration m_IdleTimeout{std::chrono::minutes(5)};
    /// Added to responses by which the server itself refuses a request or
    /// a connection.
    HttpHeaders m_RefusalHeaders;
  };
  /// Of listeners for operators and load balancers, whose requests have no
  /// bodies and which keep few connections open.
  static Limits operatorLimits();

  using Request = HttpRequest;
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Listens on \p Listen ("IP:port"; port 0 selects a free one). Throws
  /// std::runtime_error that names the address when that fails. \p Io may be
  /// run by several threads; \p Handle is called on them.
  HttpServer(boost::asio::io_context &Io, const std::string &Listen,
             Handler Handle, Limits Limit);
  /// Same as stop().
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  std::uint16_t port() const;

  /// Closes every connection after its next response, so that callers reconnect
  /// to other servers; connections are still accepted. Thread-safe.
  void closeAfterResponses();

  /// Accepts no further connections and closes idle ones; others are closed
  /// after their response.
  void stopAccepting();

  /// Requests and connections that this server has refused by itself.
  const HttpRefusals &refusals() const;

  /// Number of open connections.
  std::size_t connections() const;

  /// Closes the listener and every connection.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
