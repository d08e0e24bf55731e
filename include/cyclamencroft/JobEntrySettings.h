// Settings of an entry that dispatches leased jobs, read from TOML at start.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <string>

namespace cyclamencroft {

struct JobEntrySettings {
  std::string m_Id;
  std::string m_FailureDomain;
  /// "IP:port" for callers.
  std::string m_JobsListen = "127.0.0.1:0";
  /// "IP:port" for the load balancer's readiness checks.
  std::string m_ReadyListen = "127.0.0.1:0";
  /// "IP:port" for links from agents.
  std::string m_LinkListen = "127.0.0.1:0";
  /// "IP:port" for metrics and status.
  std::string m_MetricsListen = "127.0.0.1:0";
  /// "IP:port" of the platform's store.
  std::string m_StoreAddress;
  /// Memory for callers' requests that are being received or handled.
  std::uint32_t m_ReceiveMiB = 16;
  /// Longest lease of a run that an endpoint grants.
  Duration m_EndpointLease{std::chrono::seconds(1)};
  /// Time for which work is still accepted after a termination signal, because
  /// the load balancer needs it to notice that the entry is not ready.
  Duration m_ShutdownDelay{std::chrono::milliseconds(2500)};
};

} // namespace cyclamencroft
