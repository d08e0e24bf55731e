// Bench scenarios: a load and a fault that is injected after a third of the
// run.
#pragma once

#include "bench/Workload.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

struct NoFault {};
struct OneStraggler {};     ///< One worker runs each task ten times as long.
struct OneFailingWorker {}; ///< One worker fails every task at once.
struct RackKilled {};       ///< The workers of the first rack are stopped.
struct EntryKilled {};      ///< The last entry is stopped.
struct LogDownFault {};     ///< The log resets every connection.
using Fault = std::variant<NoFault, OneStraggler, OneFailingWorker, RackKilled,
                           EntryKilled, LogDownFault>;

struct Scenario {
  std::string m_Name;
  /// Offered load as a fraction of all slots.
  double m_Load = 0.8;
  /// Fraction of the load that arrives as jobs.
  double m_JobShare = 0;
  /// Requests that arrive together in the middle of the run, as a multiple of
  /// all slots; 0 for none.
  double m_Burst = 0;
  Fault m_Fault;
};

/// Every scenario, in the order of the report.
std::vector<Scenario> allScenarios();

/// Workload of a scenario.
WorkloadOptions workloadOf(const Scenario &Row, std::uint32_t Slots,
                           Duration Length, std::uint64_t Seed);

} // namespace cyclamencroft
