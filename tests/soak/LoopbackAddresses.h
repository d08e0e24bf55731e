// Loopback addresses of one run: each process has an address of its own.
#pragma once

#include <cstdint>
#include <string>

namespace cyclamencroft::soak {

class LoopbackAddresses {
public:
  /// \p SecondOctet is that of an AddressClaim.
  explicit LoopbackAddresses(std::uint32_t SecondOctet)
      : m_SecondOctet(SecondOctet) {}

  std::string jobs(std::uint32_t Entry) const { return entry(Entry, 8161); }
  std::string ready(std::uint32_t Entry) const { return entry(Entry, 8167); }
  std::string links(std::uint32_t Entry) const {
    return entry(Entry, LinkPort);
  }
  std::string entryMetrics(std::uint32_t Entry) const {
    return entry(Entry, MetricsPort);
  }
  std::string agent(std::uint32_t Agent) const { return side(Agent, 8166); }
  std::string endpoint(std::uint32_t Agent) const { return side(Agent, 8080); }
  std::string agentMetrics(std::uint32_t Agent) const {
    return side(Agent, MetricsPort);
  }
  /// Listener of the relay from an agent to an entry.
  std::string relay(std::uint32_t Agent, std::uint32_t Entry) const {
    return address(FirstRelayHost + Agent, Entry + 1, LinkPort);
  }
  /// Listener of the store for a client.
  std::string store(std::uint32_t Client) const {
    return address(StoreHost, Client + 1, 8169);
  }
  static constexpr std::uint32_t LinkPort = 7720;

private:
  static constexpr std::uint32_t MetricsPort = 7721;
  static constexpr std::uint32_t StoreHost = 3;
  static constexpr std::uint32_t FirstRelayHost = 10;

  std::string entry(std::uint32_t Number, std::uint32_t Port) const {
    return address(1, Number + 1, Port);
  }
  std::string side(std::uint32_t Number, std::uint32_t Port) const {
    return address(2, Number + 1, Port);
  }
  std::string address(std::uint32_t Third, std::uint32_t Fourth,
                      std::uint32_t Port) const {
    return "127." + std::to_string(m_SecondOctet) + '.' +
           std::to_string(Third) + '.' + std::to_string(Fourth) + ':' +
           std::to_string(Port);
  }

  std::uint32_t m_SecondOctet;
};

} // namespace cyclamencroft::soak
