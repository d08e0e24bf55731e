// One connection to an endpoint; carries one request at a time.
#pragma once

#include "agent/AgentEvents.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cyclamencroft {

/// Largest body of an endpoint's response; a larger one counts as a failure.
constexpr std::size_t MaxResponseBytes = std::size_t{256} * 1024;
/// Connection timeout; the endpoint is on the same host.
constexpr Duration ConnectLimit = std::chrono::seconds(1);

/// Not thread-safe: every function runs on the only thread of the io_context.
class EndpointConnection {
public:
  /// \p Reusable is true only after a complete, well-formed response on a
  /// connection that the endpoint keeps open.
  using Ended = std::function<void(RunEnded Run, bool Reusable)>;

  EndpointConnection(boost::asio::io_context &Io, std::string Address);
  /// Closes the connection; a request in flight ends without a call of Ended.
  ~EndpointConnection();
  EndpointConnection(const EndpointConnection &) = delete;
  EndpointConnection &operator=(const EndpointConnection &) = delete;

  /// Connects when necessary, sends the request and reads the response; calls
  /// \p Done once, never from within this function.
  /// \pre No request is in flight.
  void start(const StartRun &Run, Ended Done);

  /// Closes the connection; a request in flight ends as Unknown, or as NotRun
  /// when nothing of it was sent.
  void abort();

  /// True for an open connection on which nothing has arrived since the last
  /// response, neither the end of the stream nor stray bytes.
  bool isIdle();

  const std::string &address() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
