// Rows share only the machine, so they can run in parallel. With too many at
// once, the results reflect the load of the machine instead of the policy.
#include "bench/BenchSuite.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace cyclamencroft {
namespace {

Scenario scenarioNamed(const std::string &Name) {
  const std::vector<Scenario> All = allScenarios();
  const auto Found =
      std::find_if(All.begin(), All.end(), [&](const Scenario &Candidate) {
        return Candidate.m_Name == Name;
      });
  if (Found == All.end())
    throw std::invalid_argument("unknown scenario '" + Name + "'");
  return *Found;
}

std::vector<RowOptions> planRows(const SuiteOptions &Options) {
  std::vector<RowOptions> Rows;
  for (const std::string &Deployment : Options.m_Deployments)
    for (const std::string &Scenario : Options.m_Scenarios)
      for (const std::string &Policy : Options.m_Policies) {
        RowOptions Row;
        Row.m_Sizes = deploymentNamed(Deployment);
        Row.m_Scenario = scenarioNamed(Scenario);
        Row.m_Policy = Policy;
        Row.m_Entries = Options.m_Entries;
        Row.m_Length = std::chrono::seconds(Options.m_Seconds);
        Row.m_Seed = Options.m_Seed;
        Rows.push_back(std::move(Row));
      }
  return Rows;
}

/// Threads that run the rows of a shared list until none remain or one fails.
class RowWorkers {
public:
  explicit RowWorkers(std::vector<RowOptions> Plan)
      : m_Plan(std::move(Plan)), m_Rows(m_Plan.size()) {}

  std::vector<BenchRow> run(std::uint32_t Threads) {
    std::vector<std::thread> Pool;
    for (std::uint32_t I = 0; I < Threads; ++I)
      Pool.emplace_back([this] { runRemainingRows(); });
    for (std::thread &Thread : Pool)
      Thread.join();
    if (m_Failure)
      std::rethrow_exception(m_Failure);
    return std::move(m_Rows);
  }

private:
  void runRemainingRows() {
    for (std::size_t I = m_Next++; I < m_Plan.size() && !m_Failed; I = m_Next++)
      runOne(I);
  }

  void runOne(std::size_t Index) {
    try {
      m_Rows[Index] = runRow(m_Plan[Index]);
    } catch (...) {
      const std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Failure = std::current_exception();
      m_Failed = true;
    }
  }

  const std::vector<RowOptions> m_Plan;
  /// Invariant: element i is written only by the thread that runs row i.
  std::vector<BenchRow> m_Rows;
  std::atomic<std::size_t> m_Next{0};
  std::atomic<bool> m_Failed{false};
  std::mutex m_Mutex;
  /// Guarded by m_Mutex while threads run.
  std::exception_ptr m_Failure;
};

} // namespace

std::vector<std::string> scenarioNames() {
  std::vector<std::string> Names;
  for (const Scenario &Listed : allScenarios())
    Names.push_back(Listed.m_Name);
  return Names;
}

std::vector<BenchRow> runSuite(const SuiteOptions &Options) {
  return RowWorkers(planRows(Options)).run(std::max(1U, Options.m_Parallel));
}

} // namespace cyclamencroft
