// HTTP/1.1 client with a pool of keep-alive connections to one address.
#pragma once

#include "http/HttpClient.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

/// Error step of a call when no process listens at the address.
constexpr std::string_view ConnectRefusedStep = "connect refused";

/// Only for calls that may be repeated: a call is sent again on a new
/// connection when the peer turns out to have closed the keep-alive connection;
/// HttpResponse::m_Resent tells so. A call whose timeout passes while it is
/// queued is not sent and fails with ConnectStep.
///
/// \p Io is run by one thread; every method is called on that thread or while
/// it isn't running.
class HttpConnectionPool {
public:
  /// Calls beyond \p MaxConnections at a time are queued until a connection is
  /// free.
  HttpConnectionPool(boost::asio::io_context &Io, std::size_t MaxConnections);
  /// Cancels all calls without calling their callbacks.
  ~HttpConnectionPool();
  HttpConnectionPool(const HttpConnectionPool &) = delete;
  HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

  /// Calls \p Done once, never within this call. Error steps: those of
  /// httpCallAsync() and ConnectRefusedStep. A call to another address closes
  /// the idle connections to the previous one; busy ones are closed after their
  /// call.
  void call(HttpCall Call, std::function<void(HttpOutcome)> Done);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
