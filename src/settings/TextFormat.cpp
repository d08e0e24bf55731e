// Checks of text formats. Addresses are checked without resolving host names,
// because processes use IP addresses only.
#include "settings/TextFormat.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace cyclamencroft {
namespace {

constexpr unsigned HighestPort = 65535;
constexpr std::size_t LongestName = 64;

bool isPort(std::string_view Text, unsigned Lowest) {
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Fault] = std::from_chars(Text.data(), End, Port);
  return Fault == std::errc() && Rest == End && Port >= Lowest &&
         Port <= HighestPort;
}

bool isIpAddress(std::string_view Text) {
  // An IPv6 address is in brackets, which separate its colons from the one
  // before the port.
  const bool Bracketed =
      Text.size() > 2 && Text.front() == '[' && Text.back() == ']';
  if (Bracketed)
    Text = Text.substr(1, Text.size() - 2);
  boost::system::error_code Fault;
  const auto Address = boost::asio::ip::make_address(std::string(Text), Fault);
  return !Fault && Address.is_v6() == Bracketed;
}

bool isAddress(std::string_view Text, unsigned LowestPort) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  return isIpAddress(Text.substr(0, Colon)) &&
         isPort(Text.substr(Colon + 1), LowestPort);
}

bool acceptsListen(std::string_view Text) { return isAddress(Text, 0); }
bool acceptsAddress(std::string_view Text) { return isAddress(Text, 1); }
bool acceptsAny(std::string_view) { return true; }

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
}

bool acceptsOptionalName(std::string_view Text) {
  if (Text.size() > LongestName)
    return false;
  for (const char C : Text)
    if (!isNameCharacter(C))
      return false;
  return true;
}

bool acceptsName(std::string_view Text) {
  return !Text.empty() && acceptsOptionalName(Text);
}

} // namespace

const TextFormat ListenFormat{
    "IP:port with port 0 to 65535, such as \"10.0.0.1:7100\"", acceptsListen};
const TextFormat AddressFormat{
    "IP:port with port 1 to 65535, such as \"10.0.0.1:7100\"", acceptsAddress};
const TextFormat NameFormat{
    "a name of 1 to 64 letters, digits, '-', '_' or '.'", acceptsName};
const TextFormat OptionalNameFormat{
    "a name of 0 to 64 letters, digits, '-', '_' or '.'", acceptsOptionalName};
const TextFormat AnyFormat{"a text", acceptsAny};

} // namespace cyclamencroft
