// Runs a stand-in for the platform's log until SIGINT or SIGTERM.
#include "bench/StandinLog.h"
#include "core/TerminationSignals.h"
#include "telemetry/EventLog.h"

#include <CLI/CLI.hpp>

int main(int Count, char **Arguments) {
  using namespace cyclamencroft;
  StandinLogOptions Options;
  std::uint32_t AppendMs = 5;
  CLI::App App("Stand-in for the platform's log, in memory.\n"
               "Example: cyclamencroft-standin-log --listen 127.0.0.1:7000");
  App.add_option("--listen", Options.m_Listen,
                 "IP:port; port 0 takes a free one")
      ->capture_default_str();
  App.add_option("--retention", Options.m_Retention,
                 "records kept in one stream")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  App.add_option("--append-ms", AppendMs, "time of one append, ms")
      ->capture_default_str();
  App.add_option("--appends-per-second", Options.m_AppendsPerSecond,
                 "most appends a second")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  CLI11_PARSE(App, Count, Arguments);
  Options.m_AppendTime = std::chrono::milliseconds(AppendMs);

  const TerminationSignals Signals;
  EventLog::open("", "standin-log");
  try {
    const StandinLog Log(Options);
    logEvent(LogLevel::Info, "listening", {{"http", Log.address()}});
    Signals.wait();
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "failed", {{"reason", Fault.what()}});
    return 1;
  }
  return 0;
}
