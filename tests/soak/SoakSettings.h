// Size and duration of one run of the soak, and the time bounds that it checks.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <string>

namespace cyclamencroft::soak {

struct SoakSettings {
  std::uint64_t m_Seed = 1;
  std::uint32_t m_Entries = 2;
  std::uint32_t m_Endpoints = 4;
  /// Failure domains over which the endpoints are spread.
  std::uint32_t m_Domains = 2;
  /// Period in which faults begin; each one ends after its own duration.
  Duration m_FaultPhase{std::chrono::seconds(20)};
  /// Mean time between the starts of two faults.
  Duration m_FaultInterval{std::chrono::milliseconds(900)};
  /// Jobs per second over all callers.
  std::uint32_t m_JobsPerSecond = 40;
  /// Folder for settings files and logs.
  std::string m_Folder;
};

/// Time bounds of the smaller deployments of both users.
struct Bounds {
  static constexpr Duration MaxReconnectTime{std::chrono::seconds(3)};
  static constexpr Duration MaxConfigurationDelay{std::chrono::seconds(2)};
  static constexpr Duration MaxRollbackTime{std::chrono::milliseconds(250)};
  static constexpr Duration MaxDrainDelay{std::chrono::seconds(2)};
  /// Of the deployments whose operators evacuate domains.
  static constexpr Duration MaxEvacuationDelay{std::chrono::seconds(5)};
  static constexpr Duration ShutdownTimeout{std::chrono::seconds(6)};
  static constexpr Duration MinReadTime{std::chrono::milliseconds(200)};
  static constexpr Duration MaxRecoveryTime{std::chrono::seconds(12)};
  static constexpr Duration ResendDelay{std::chrono::milliseconds(1300)};
  static constexpr Duration MaxLease{std::chrono::seconds(1)};
  /// Time that an endpoint may take to stop a run on a command.
  static constexpr Duration MaxStopTime{std::chrono::milliseconds(50)};
};

} // namespace cyclamencroft::soak
