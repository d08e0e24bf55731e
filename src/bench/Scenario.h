// Rows of the bench: a load and a fault that sets in after a third of it.
#pragma once

#include "bench/Workload.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

struct NoFault {};
struct OneStraggler {};     ///< One worker runs each task ten times as long.
struct OneFailingWorker {}; ///< One worker fails everything at once.
struct RackKilled {};       ///< The workers of the first rack end.
struct EntryKilled {};      ///< The last entry ends.
struct LogDownFault {};     ///< The log resets every connection.
using Fault = std::variant<NoFault, OneStraggler, OneFailingWorker, RackKilled,
                           EntryKilled, LogDownFault>;

struct Scenario {
  std::string m_Name;
  /// Offered work as a share of all slots.
  double m_Load = 0.8;
  /// Share of the work that comes in jobs.
  double m_JobShare = 0;
  /// Burst in the middle of the load, as a multiple of all slots.
  double m_Burst = 0;
  Fault m_Fault;
};

/// Every scenario, in the order of the report.
std::vector<Scenario> allScenarios();

/// Workload of a scenario.
WorkloadOptions workloadOf(const Scenario &Row, std::uint32_t Slots,
                           Duration Length, std::uint64_t Seed);

} // namespace cyclamencroft
