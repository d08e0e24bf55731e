// The validated configuration that operators declare.
#pragma once

#include "core/Ids.h"
#include "core/Messages.h"
#include "core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// Configuration of a service: a set of endpoints that serve the same requests.
struct ServiceConfig {
  /// Deadline of a request that sets none.
  Duration m_DefaultDeadline{std::chrono::seconds(10)};
  /// Longest deadline that a caller may ask for.
  Duration m_MaxDeadline{std::chrono::seconds(120)};
};

/// Configuration of a team: a group that shares a quota.
struct TeamConfig {
  /// Task starts a second over all entries; 0 means no limit.
  std::uint32_t m_StartsPerSecond = 0;
};

/// How an entry chooses an endpoint.
struct SharePolicy {};  ///< Own share first, then slots estimated to be free.
struct RandomPolicy {}; ///< Any endpoint; baseline.
struct RoundRobinPolicy {};  ///< Endpoints in rotation; baseline.
struct LeastLoadedPolicy {}; ///< Lowest load in the last report; baseline.
using RoutingPolicy = std::variant<SharePolicy, RandomPolicy, RoundRobinPolicy,
                                   LeastLoadedPolicy>;

/// A set of parameters that operators switch between, for example for ordinary
/// days, peaks and maintenance.
struct Preset {
  RoutingPolicy m_Routing;
  /// False refuses all new requests and jobs as not run.
  bool m_AdmitsWork = true;
  /// Tasks that may wait at one entry for one service.
  std::uint32_t m_QueueLimit = 20000;
  /// Retries allowed for every hundred requests.
  std::uint32_t m_RetryPercent = 10;
  /// True allows a second attempt of a slow idempotent request.
  bool m_Hedging = false;
  /// Multiple of the service's usual run time after which to hedge.
  double m_HedgeAfter = 3.0;
  /// Tasks that may wait at an agent beyond its slots.
  std::uint32_t m_AgentQueue = 0;
  /// Failure domains whose endpoints take no new work.
  std::vector<std::string> m_DrainedFailureDomains;
};

/// Content of a validated configuration document.
struct Configuration {
  std::map<std::string, ServiceConfig> m_Services;
  std::map<std::string, TeamConfig> m_Teams;
  std::map<std::string, Preset> m_Presets;
};

/// A version of the configuration with the preset in effect.
struct ConfigState {
  ConfigVersion m_Version = 0;
  /// The state results from all log records below this offset.
  std::uint64_t m_Offset = 0;
  /// Invariant: names a preset of m_Configuration.
  std::string m_PresetName;
  /// TOML text that m_Configuration was parsed from.
  std::string m_Document;
  Configuration m_Configuration;

  const Preset &preset() const {
    return m_Configuration.m_Presets.at(m_PresetName);
  }
};

using ConfigStatePtr = std::shared_ptr<const ConfigState>;

} // namespace cyclamencroft
