// The deployment that a soak disrupts: the real daemons as processes, relays on
// the links between them, and stand-ins of the store and the endpoints.
#pragma once

#include "bench/Relay.h"
#include "entry/RandomSource.h"
#include "soak/DaemonProcess.h"
#include "soak/Faults.h"
#include "soak/KeyedStore.h"
#include "soak/LeasedEndpoint.h"
#include "soak/LoopbackAddresses.h"
#include "soak/SoakSettings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamencroft::soak {

class SoakDeployment {
public:
  using Daemons = std::vector<std::unique_ptr<DaemonProcess>>;
  using Endpoints = std::vector<std::unique_ptr<LeasedEndpoint>>;
  /// Returns the observer of the endpoint with this number and capacity.
  using ObserverFactory =
      std::function<EndpointObserver(std::uint32_t Number, Size Capacity)>;

  SoakDeployment(boost::asio::io_context &Io, const SoakSettings &Settings,
                 LoopbackAddresses Addresses);

  void makeEndpoints(RandomSource &Random, const ObserverFactory &Observer);
  /// Starts every daemon and endpoint.
  void start();
  /// Sets the mode of the relay between an agent and an entry.
  void setLink(const LinkFault &Link, const std::string &Mode);

  static std::string domainName(std::uint32_t Domain);

  const LoopbackAddresses &addresses() const { return m_Addresses; }
  KeyedStore &store() { return m_Store; }
  Daemons &entries() { return m_Entries; }
  Daemons &agents() { return m_Agents; }
  Endpoints &endpoints() { return m_Endpoints; }

private:
  void makeEntries();
  void makeAgents();
  std::unique_ptr<DaemonProcess> makeDaemon(const std::string &Name,
                                            const std::string &Program,
                                            const std::string &Text) const;
  void makeRelays();
  /// Replaces entry addresses for agents, which connect through the relays.
  std::string rewriteLinkAddress(std::uint32_t Client, const std::string &Topic,
                                 const std::string &Value) const;

  boost::asio::io_context &m_Io;
  const SoakSettings &m_Settings;
  const LoopbackAddresses m_Addresses;
  KeyedStore m_Store;
  Daemons m_Entries;
  Daemons m_Agents;
  /// By agent and entry.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::unique_ptr<Relay>>
      m_Relays;
  Endpoints m_Endpoints;
};

} // namespace cyclamencroft::soak
