// Accepts links from agents and peer entries.
#pragma once

#include "link/LinkHandlers.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

/// \p Io is run by one thread; every method is called on that thread or while
/// it isn't running.
class LinkServer {
public:
  using Handlers = LinkHandlers;

  /// Listens on \p Listen ("IP:port"; port 0 selects a free one). Throws
  /// std::runtime_error that names the address when that fails.
  LinkServer(boost::asio::io_context &Io, const std::string &Listen,
             Handlers H);
  /// Same as stop().
  ~LinkServer();
  LinkServer(const LinkServer &) = delete;
  LinkServer &operator=(const LinkServer &) = delete;

  std::uint16_t port() const;

  /// See LinkClient::send().
  void send(LinkId Link, const std::vector<LinkMessage> &Messages);
  void close(LinkId Link, std::string Reason);

  /// "IP:port" of the other side; empty for a closed link.
  std::string peer(LinkId Link) const;

  /// Accepts no further links; open links are not closed.
  void stopAccepting();

  /// Closes the listener and all links without further calls of handlers.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
