// The bench subcommand: response time over the ideal and wasted messages.
#include "bench/BenchSuite.h"
#include "cli/Commands.h"
#include "telemetry/EventLog.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <stdexcept>

namespace cyclamencroft {
namespace {

constexpr char BenchHelp[] =
    "Runs entries, agents and endpoint stand-ins of a deployment over loopback "
    "and reports response time over the ideal and wasted messages per task.\n"
    "Example: cyclamencroft bench --scenario load-80 --policy share "
    "--policy random";

CommandResult runBench(const SuiteOptions &Options,
                       const std::string &LogFile) {
  EventLog::open(LogFile, "bench");
  try {
    const std::vector<BenchRow> Rows = runSuite(Options);
    CommandResult Result;
    Result.m_Text = toTable(Rows);
    Result.m_Json = toJson(Rows) + "\n";
    return Result;
  } catch (const std::invalid_argument &Fault) {
    return makeFailure(ExitCode::Invalid, Fault.what());
  } catch (const std::runtime_error &Fault) {
    return makeFailure(ExitCode::Failed, Fault.what());
  }
}

} // namespace

void addBenchCommand(CLI::App &App, CommandSink &Sink) {
  const auto Options = std::make_shared<SuiteOptions>();
  const auto LogFile = std::make_shared<std::string>("/dev/null");
  Options->m_Deployments = {"regie", "salgema"};
  Options->m_Scenarios = scenarioNames();
  Options->m_Policies = {"share", "random", "round-robin", "least-loaded"};
  CLI::App *Bench = App.add_subcommand("bench", BenchHelp);
  Bench->add_option("--deployment", Options->m_Deployments, "regie, salgema")
      ->check(CLI::IsMember({"regie", "salgema"}));
  Bench->add_option("--scenario", Options->m_Scenarios, "loads and faults")
      ->check(CLI::IsMember(scenarioNames()));
  Bench->add_option("--policy", Options->m_Policies, "routing policies")
      ->check(
          CLI::IsMember({"share", "random", "round-robin", "least-loaded"}));
  Bench->add_option("--entries", Options->m_Entries, "entries of each row")
      ->check(CLI::Range(1, 16))
      ->capture_default_str();
  Bench->add_option("--seconds", Options->m_Seconds, "length of the load, s")
      ->check(CLI::Range(1, 600))
      ->capture_default_str();
  Bench->add_option("--seed", Options->m_Seed, "seed of the workload")
      ->capture_default_str();
  Bench
      ->add_option("--parallel", Options->m_Parallel,
                   "rows that run at the same time")
      ->check(CLI::Range(1, 8))
      ->capture_default_str();
  Bench->add_option("--log-file", *LogFile, "log of the daemons")
      ->capture_default_str();
  Bench->callback([Options, LogFile, &Sink] {
    Sink.m_Result = runBench(*Options, *LogFile);
  });
}

} // namespace cyclamencroft
