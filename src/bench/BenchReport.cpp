// Summarises samples and formats bench rows. Quantiles are exact, which is
// affordable because a row holds a few thousand samples.
#include "bench/BenchReport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace cyclamencroft {
namespace {

/// Nearest-rank quantile; \p Sorted is in ascending order.
double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const double Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  const auto Index = static_cast<std::size_t>(std::max(1.0, Rank)) - 1;
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

RatioSummary summarizeKind(boost::span<const CallSample> Samples, bool Job) {
  std::vector<double> Ratios;
  for (const CallSample &Sample : Samples)
    if (Sample.m_Job == Job && Sample.m_Outcome == "completed")
      Ratios.push_back(Sample.m_Ratio);
  std::sort(Ratios.begin(), Ratios.end());
  return {Ratios.size(), quantile(Ratios, 0.5), quantile(Ratios, 0.99)};
}

nlohmann::json toJson(const RatioSummary &Summary) {
  return {{"completed", Summary.m_Completed},
          {"p50_over_ideal", Summary.m_P50},
          {"p99_over_ideal", Summary.m_P99}};
}

nlohmann::json toJson(const BenchRow &Row) {
  return {{"deployment", Row.m_Deployment},
          {"scenario", Row.m_Scenario},
          {"policy", Row.m_Policy},
          {"requests", toJson(Row.m_Requests)},
          {"jobs", toJson(Row.m_Jobs)},
          {"outcomes", Row.m_Outcomes},
          {"useful_tasks", Row.m_UsefulTasks},
          {"messages",
           {{"dispatches", Row.m_Messages.m_Dispatches},
            {"results", Row.m_Messages.m_Results},
            {"refusals", Row.m_Messages.m_Refusals},
            {"control", Row.m_Messages.m_Control}}},
          {"wasted_per_task", Row.wastedPerTask()}};
}

std::string otherOutcomes(const BenchRow &Row) {
  std::string Text;
  for (const auto &[Outcome, Count] : Row.m_Outcomes)
    if (Outcome != "completed")
      Text += ' ' + Outcome + '=' + std::to_string(Count);
  return Text;
}

} // namespace

double BenchRow::wastedPerTask() const {
  if (m_UsefulTasks == 0)
    return 0;
  const std::uint64_t All = m_Messages.m_Dispatches + m_Messages.m_Results +
                            m_Messages.m_Refusals + m_Messages.m_Control;
  const std::uint64_t Useful = 2 * m_UsefulTasks;
  return (static_cast<double>(All) - static_cast<double>(Useful)) /
         static_cast<double>(m_UsefulTasks);
}

void summarize(boost::span<const CallSample> Samples, BenchRow &Row) {
  Row.m_Requests = summarizeKind(Samples, false);
  Row.m_Jobs = summarizeKind(Samples, true);
  for (const CallSample &Sample : Samples) {
    ++Row.m_Outcomes[Sample.m_Outcome];
    if (Sample.m_Outcome == "completed")
      Row.m_UsefulTasks += Sample.m_Tasks;
  }
}

std::string toTable(boost::span<const BenchRow> Rows) {
  std::string Text = "deployment scenario             policy        requests"
                     "    p50    p99   jobs    p50    p99 wasted/task other\n";
  for (const BenchRow &Row : Rows) {
    char Line[256];
    std::snprintf(Line, sizeof(Line),
                  "%-10s %-20s %-13s %8llu %6.2f %6.2f %6llu %6.2f %6.2f "
                  "%11.3f%s\n",
                  Row.m_Deployment.c_str(), Row.m_Scenario.c_str(),
                  Row.m_Policy.c_str(),
                  static_cast<unsigned long long>(Row.m_Requests.m_Completed),
                  Row.m_Requests.m_P50, Row.m_Requests.m_P99,
                  static_cast<unsigned long long>(Row.m_Jobs.m_Completed),
                  Row.m_Jobs.m_P50, Row.m_Jobs.m_P99, Row.wastedPerTask(),
                  otherOutcomes(Row).c_str());
    Text += Line;
  }
  return Text;
}

std::string toJson(boost::span<const BenchRow> Rows) {
  auto Array = nlohmann::json::array();
  for (const BenchRow &Row : Rows)
    Array.push_back(toJson(Row));
  return Array.dump(2);
}

} // namespace cyclamencroft
