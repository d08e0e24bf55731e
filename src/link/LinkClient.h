// Keeps one outgoing link to a fixed address and reconnects when it is lost.
#pragma once

#include "link/LinkHandlers.h"
#include "link/LinkLimits.h"

#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

/// Reconnects after an exponential backoff with full jitter, so that the agents
/// of a restarted entry don't all connect to it at the same moment.
///
/// \p Io is run by one thread; every method is called on that thread or while
/// it isn't running.
class LinkClient {
public:
  using Handlers = LinkHandlers;

  /// \p Address is "IP:port"; \p MaxDelay bounds the delay before a
  /// connection attempt.
  LinkClient(boost::asio::io_context &Io, std::string Address, Handlers H,
             Duration MaxDelay = MaxReconnectDelay);
  /// Same as stop().
  ~LinkClient();
  LinkClient(const LinkClient &) = delete;
  LinkClient &operator=(const LinkClient &) = delete;

  void start();

  /// Sends \p Messages in one frame (in several when they exceed the frame
  /// limit). Ignored when the link has closed. The link is closed when its
  /// unsent data would exceed MaxQueuedBytes.
  void send(LinkId Link, const std::vector<LinkMessage> &Messages);

  /// Closes the link; the client reconnects.
  void close(LinkId Link, std::string Reason);

  /// Closes the link without further calls of handlers and does not reconnect.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
