// Result of a bench: one row for each scenario and policy.
#pragma once

#include "bench/LoadGenerator.h"

#include <boost/core/span.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamencroft {

/// Messages between entries and agents during one row.
struct MessageCounts {
  std::uint64_t m_Dispatches = 0;
  std::uint64_t m_Results = 0;
  std::uint64_t m_Refusals = 0;
  /// Everything else: heartbeats, pings, status, cancels, configuration.
  std::uint64_t m_Control = 0;
};

/// Response times over the ideal of the completed calls of one kind.
struct RatioSummary {
  std::uint64_t m_Completed = 0;
  double m_P50 = 0;
  double m_P99 = 0;
};

struct BenchRow {
  std::string m_Deployment;
  std::string m_Scenario;
  std::string m_Policy;
  RatioSummary m_Requests;
  RatioSummary m_Jobs;
  /// Calls by outcome.
  std::map<std::string, std::uint64_t> m_Outcomes;
  /// Tasks of completed calls; one dispatch and one result each are useful.
  std::uint64_t m_UsefulTasks = 0;
  MessageCounts m_Messages;

  /// Messages beyond one dispatch and one result for each useful task, over
  /// the useful tasks.
  double wastedPerTask() const;
};

/// Fills the figures of a row that come from samples.
void summarize(boost::span<const CallSample> Samples, BenchRow &Row);

/// Table for people.
std::string toTable(boost::span<const BenchRow> Rows);

/// JSON array for scripts.
std::string toJson(boost::span<const BenchRow> Rows);

} // namespace cyclamencroft
