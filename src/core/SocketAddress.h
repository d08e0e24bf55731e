// Parses the "IP:port" form of addresses in settings and messages.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace cyclamencroft {

/// Returns nothing when \p Text isn't "IPv4:port" or "[IPv6]:port".
std::optional<boost::asio::ip::tcp::endpoint>
parseSocketAddress(std::string_view Text);

} // namespace cyclamencroft
