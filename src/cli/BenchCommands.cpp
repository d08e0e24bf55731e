// The bench subcommand: measures the ratio of response time to the ideal one,
// and wasted messages per task.
#include "bench/BenchPlot.h"
#include "bench/BenchSuite.h"
#include "cli/Commands.h"
#include "telemetry/EventLog.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <memory>
#include <stdexcept>

namespace cyclamencroft {
namespace {

constexpr char BenchHelp[] =
    "Runs entries, agents and endpoint stand-ins of a deployment over loopback "
    "and reports response time over the ideal and wasted messages per task.\n"
    "Example: cyclamencroft bench --scenario load-80 --policy share "
    "--policy random";

/// Output files of the bench, in addition to its report.
struct BenchFiles {
  std::string m_Log = "/dev/null";
  /// Path prefix of "-p99.svg" and "-wasted.svg"; no plots when empty.
  std::string m_Plot;
};

void writePlots(const std::vector<BenchRow> &Rows, const std::string &Prefix) {
  if (Prefix.empty())
    return;
  std::ofstream Response(Prefix + "-p99.svg");
  Response << plotSvg(Rows, PlotMeasure::P99OverIdeal);
  std::ofstream Wasted(Prefix + "-wasted.svg");
  Wasted << plotSvg(Rows, PlotMeasure::WastedPerTask);
  if (!Response.flush() || !Wasted.flush())
    throw std::runtime_error("cannot write plots at '" + Prefix + "'");
}

CommandResult runBench(const SuiteOptions &Options, const BenchFiles &Files) {
  EventLog::open(Files.m_Log, "bench");
  try {
    const std::vector<BenchRow> Rows = runSuite(Options);
    writePlots(Rows, Files.m_Plot);
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
  const auto Files = std::make_shared<BenchFiles>();
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
  Bench->add_option("--log-file", Files->m_Log, "log of the daemons")
      ->capture_default_str();
  Bench->add_option("--plot", Files->m_Plot,
                    "prefix of two SVG plots, such as out/bench");
  Bench->callback(
      [Options, Files, &Sink] { Sink.m_Result = runBench(*Options, *Files); });
}

} // namespace cyclamencroft
