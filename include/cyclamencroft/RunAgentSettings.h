// Settings of an agent that runs leased tasks, read from TOML at start.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

struct RunAgentSettings {
  std::string m_Id;
  std::string m_FailureDomain;
  /// "IP:port" for the endpoint's heartbeats.
  std::string m_EndpointListen = "127.0.0.1:0";
  /// "IP:port" for metrics and status.
  std::string m_MetricsListen = "127.0.0.1:0";
  /// Hosts on which entries were running recently, as "IP:port"; the port is
  /// replaced by m_EntryLinkPort.
  std::vector<std::string> m_SeedHosts;
  /// Port of the entries' link listeners; the same on all hosts.
  std::uint32_t m_EntryLinkPort = 0;
  /// "IP:port" of the platform's store.
  std::string m_StoreAddress;
  /// Longest lease of a run that the endpoint grants.
  Duration m_EndpointLease{std::chrono::seconds(1)};
  /// Interval of the endpoint's heartbeats.
  Duration m_HeartbeatInterval{std::chrono::milliseconds(1500)};
};

} // namespace cyclamencroft
