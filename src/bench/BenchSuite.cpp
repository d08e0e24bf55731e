// Rows share nothing but the machine, so they can run side by side; too many
// at once would measure the machine instead of the policy.
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
      std::find_if(All.begin(), All.end(),
                   [&](const Scenario &Each) { return Each.m_Name == Name; });
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

/// Takes rows from a shared list until it is empty or one fails.
class RowWorkers {
public:
  explicit RowWorkers(std::vector<RowOptions> Plan)
      : m_Plan(std::move(Plan)), m_Rows(m_Plan.size()) {}

  std::vector<BenchRow> run(std::uint32_t Threads) {
    std::vector<std::thread> Pool;
    for (std::uint32_t I = 0; I < Threads; ++I)
      Pool.emplace_back([this] { takeRows(); });
    for (std::thread &Each : Pool)
      Each.join();
    if (m_Failure)
      std::rethrow_exception(m_Failure);
    return std::move(m_Rows);
  }

private:
  void takeRows() {
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
  /// Invariant: element i is written only by the thread that took row i.
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
  for (const Scenario &Each : allScenarios())
    Names.push_back(Each.m_Name);
  return Names;
}

std::vector<BenchRow> runSuite(const SuiteOptions &Options) {
  return RowWorkers(planRows(Options)).run(std::max(1U, Options.m_Parallel));
}

} // namespace cyclamencroft
