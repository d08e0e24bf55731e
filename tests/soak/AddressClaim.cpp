// A block is claimed by binding one of its addresses.
#include "soak/AddressClaim.h"

#include <stdexcept>
#include <string>

namespace cyclamencroft::soak {
namespace {

namespace ip = boost::asio::ip;

constexpr std::uint32_t FirstOctet = 1;
constexpr std::uint32_t LastOctet = 200;
constexpr unsigned short ClaimPort = 7719;

} // namespace

AddressClaim::AddressClaim() {
  for (std::uint32_t Octet = FirstOctet; Octet <= LastOctet; ++Octet)
    if (tryClaim(Octet))
      return;
  throw std::runtime_error("every block of loopback addresses is in use");
}

bool AddressClaim::tryClaim(std::uint32_t Octet) {
  const auto Address =
      ip::make_address("127." + std::to_string(Octet) + ".0.1");
  boost::system::error_code Fault;
  m_Bound = ip::tcp::acceptor(m_Io);
  m_Bound.open(ip::tcp::v4());
  m_Bound.bind({Address, ClaimPort}, Fault);
  if (Fault)
    return false;
  m_Octet = Octet;
  return true;
}

} // namespace cyclamencroft::soak
