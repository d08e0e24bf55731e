// Runs one bench row: starts a separate cluster, applies the load and injects
// the fault.
#pragma once

#include "bench/BenchReport.h"
#include "bench/Deployment.h"
#include "bench/Scenario.h"

#include <cstdint>
#include <string>

namespace cyclamencroft {

struct RowOptions {
  Deployment m_Sizes;
  Scenario m_Scenario;
  /// Routing name of the configuration document.
  std::string m_Policy = "share";
  std::uint32_t m_Entries = 2;
  Duration m_Length{std::chrono::seconds(10)};
  std::uint64_t m_Seed = 1;
};

/// Throws std::runtime_error when the cluster does not become ready.
BenchRow runRow(const RowOptions &Options);

} // namespace cyclamencroft
