// Host names are not resolved, because processes address each other by IP
// address.
#include "core/SocketAddress.h"

#include <charconv>
#include <string>

namespace cyclamencroft {

std::optional<boost::asio::ip::tcp::endpoint>
parseSocketAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Ip = Text.substr(0, Colon);
  const bool Bracketed = Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']';
  if (Bracketed)
    Ip = Ip.substr(1, Ip.size() - 2);
  const std::string_view PortText = Text.substr(Colon + 1);
  std::uint16_t Port = 0;
  const char *End = PortText.data() + PortText.size();
  const auto Parsed = std::from_chars(PortText.data(), End, Port);
  boost::system::error_code Fault;
  const auto Address = boost::asio::ip::make_address(std::string(Ip), Fault);
  if (Fault || Parsed.ec != std::errc() || Parsed.ptr != End ||
      Address.is_v6() != Bracketed)
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(Address, Port);
}

} // namespace cyclamencroft
