// Claims a block of loopback addresses, so that runs at the same time on one
// machine use different ones.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace cyclamencroft::soak {

class AddressClaim {
public:
  /// Claims the first block that no other process has claimed; throws
  /// std::runtime_error if there is none.
  AddressClaim();

  /// Second octet of the addresses in the block. The claim ends with this
  /// object, also when the process is killed.
  std::uint32_t octet() const { return m_Octet; }

private:
  bool tryClaim(std::uint32_t Octet);

  boost::asio::io_context m_Io;
  /// Bound to an address of the block that nothing else uses.
  boost::asio::ip::tcp::acceptor m_Bound{m_Io};
  std::uint32_t m_Octet = 0;
};

} // namespace cyclamencroft::soak
