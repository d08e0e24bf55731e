// HTTP/1.1 client with a pool of keep-alive connections to one address.
#pragma once

#include "http/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

/// Error step of a call when no process listens at the address.
constexpr std::string_view ConnectRefusedStep = "connect refused";

/// Error step of a call when another process than the expected one answers at
/// the address; the call was not sent to it.
constexpr std::string_view OtherPeerStep = "other peer";

/// Finds out which process has accepted a connection. A connection never moves
/// to another process, so once the check has passed, every call on it reaches
/// the expected one.
struct PeerCheck {
  /// Names the expected process. Calls that expect different processes share no
  /// connections.
  std::string m_Identity;
  /// Sent first on each new connection; its address and timeout are ignored.
  HttpCall m_Question;
  /// Outcome of the calls if the response is not that of the expected process;
  /// nullopt if it is.
  std::function<std::optional<HttpOutcome>(const HttpResponse &)> m_Reject;
};

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
  /// httpCallAsync(), ConnectRefusedStep and OtherPeerStep. A call to another
  /// address or process closes the idle connections to the previous one; busy
  /// ones are closed after their call. \p Expected may be null: any process may
  /// then answer.
  void call(HttpCall Call, std::function<void(HttpOutcome)> Done,
            std::shared_ptr<const PeerCheck> Expected = nullptr);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
