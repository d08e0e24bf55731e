// Runs a set of bench rows, several of them in parallel.
#pragma once

#include "bench/BenchRunner.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

struct SuiteOptions {
  /// Names of deployments, scenarios and routing policies; the rows are all
  /// combinations.
  std::vector<std::string> m_Deployments;
  std::vector<std::string> m_Scenarios;
  std::vector<std::string> m_Policies;
  std::uint32_t m_Entries = 2;
  std::uint32_t m_Seconds = 10;
  std::uint64_t m_Seed = 1;
  /// Number of rows that run at the same time.
  std::uint32_t m_Parallel = 2;
};

/// Names of all scenarios, in the order of the report.
std::vector<std::string> scenarioNames();

/// Rows in the order deployment, scenario, policy. Throws
/// std::invalid_argument for an unknown name.
std::vector<BenchRow> runSuite(const SuiteOptions &Options);

} // namespace cyclamencroft
