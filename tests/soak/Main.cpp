// Command line of the soak: runs seeds one after the other and exits with
// status 1 when a guarantee was violated.
#include "soak/SoakRun.h"

#include "telemetry/EventLog.h"

#include <CLI/CLI.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using namespace cyclamencroft;
using namespace cyclamencroft::soak;

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Prints the result; returns true when no guarantee was violated.
bool report(std::uint64_t Seed, const SoakResult &Result) {
  const CallerCounts &Counts = Result.m_Counts;
  std::cout << "seed " << Seed << ": " << Result.m_Faults << " faults, "
            << Counts.m_Offered << " jobs: " << Counts.m_Completed
            << " completed, " << Counts.m_Failed << " failed, "
            << Counts.m_Refused << " refused, " << Counts.m_GivenUp
            << " given up, " << Counts.m_Unanswered << " unanswered, "
            << Counts.m_Disconnected << " disconnected; served after recovery "
            << Result.m_ServedAfterRecovery << ", longest stall "
            << inSeconds(Result.m_LongestStall) << " s\n";
  for (const Violation &Each : Result.m_Violations)
    std::cout << "seed " << Seed << " VIOLATION at "
              << inSeconds(Each.m_At.time_since_epoch())
              << " s: " << Each.m_Guarantee << ": " << Each.m_Detail << '\n';
  std::cout << std::flush;
  return Result.m_Violations.empty();
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Randomized fault-injection soak of the platform's daemons");
  SoakSettings Settings;
  std::uint32_t Seeds = 1;
  std::int64_t FaultSeconds = 20;
  std::int64_t IntervalMs = 900;
  App.add_option("--seed", Settings.m_Seed, "first seed")
      ->capture_default_str();
  App.add_option("--seeds", Seeds, "number of seeds")->capture_default_str();
  App.add_option("--entries", Settings.m_Entries, "entries")
      ->check(CLI::Range(1, 40))
      ->capture_default_str();
  App.add_option("--endpoints", Settings.m_Endpoints,
                 "endpoints, each with an agent")
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  App.add_option("--jobs-per-second", Settings.m_JobsPerSecond, "load")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  App.add_option("--fault-seconds", FaultSeconds, "duration of the fault phase")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
  App.add_option("--fault-interval-ms", IntervalMs, "mean time between faults")
      ->check(CLI::Range(50, 60000))
      ->capture_default_str();
  App.add_option("--folder", Settings.m_Folder, "for settings and logs")
      ->required();
  CLI11_PARSE(App, Count, Arguments);
  EventLog::openStdout("soak");
  Settings.m_FaultPhase = std::chrono::seconds(FaultSeconds);
  Settings.m_FaultInterval = std::chrono::milliseconds(IntervalMs);
  const std::string Folder = Settings.m_Folder;
  bool AllHeld = true;
  // Catch exceptions, so that unwinding ends every process that was started.
  try {
    for (std::uint32_t Done = 0; Done < Seeds; ++Done, ++Settings.m_Seed) {
      Settings.m_Folder = Folder + "/seed-" + std::to_string(Settings.m_Seed);
      AllHeld = report(Settings.m_Seed, SoakRun(Settings).run()) && AllHeld;
    }
  } catch (const std::exception &Fault) {
    std::cerr << "seed " << Settings.m_Seed << ": " << Fault.what() << '\n';
    return EXIT_FAILURE;
  }
  return AllHeld ? EXIT_SUCCESS : EXIT_FAILURE;
}
