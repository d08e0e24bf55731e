// Bench results, one row for each deployment, scenario and policy, and their
// output formats.
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
  /// All other messages: heartbeats, pings, status, cancels, configuration.
  std::uint64_t m_Control = 0;
};

/// Ratios of response time to the ideal response time, over the completed calls
/// of one kind. Quantiles are 0 when no call completed.
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
  /// Number of calls by outcome.
  std::map<std::string, std::uint64_t> m_Outcomes;
  /// Tasks of completed calls. One dispatch and one result for each of them
  /// count as useful messages.
  std::uint64_t m_UsefulTasks = 0;
  MessageCounts m_Messages;

  /// Messages beyond one dispatch and one result for each useful task, divided
  /// by the number of useful tasks; 0 when there are none.
  double wastedPerTask() const;
};

/// Fills in the members of \p Row that are computed from samples.
void summarize(boost::span<const CallSample> Samples, BenchRow &Row);

/// Formats the rows as a text table.
std::string toTable(boost::span<const BenchRow> Rows);

/// Formats the rows as a JSON array.
std::string toJson(boost::span<const BenchRow> Rows);

} // namespace cyclamencroft
