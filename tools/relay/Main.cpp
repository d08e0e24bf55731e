// Runs a fault-injecting TCP relay until SIGINT or SIGTERM.
#include "bench/Relay.h"
#include "core/TerminationSignals.h"
#include "telemetry/EventLog.h"

#include <CLI/CLI.hpp>

#include <exception>

int main(int Count, char **Arguments) {
  using namespace cyclamencroft;
  RelayOptions Options;
  CLI::App App("TCP relay that cuts, stalls, delays or resets connections.\n"
               "Example: curl -d '{\"mode\": \"delay\", \"delay_ms\": 50}' "
               "127.0.0.1:7001/mode");
  App.add_option("--target", Options.m_Target, "IP:port to relay to")
      ->required();
  App.add_option("--listen", Options.m_Listen,
                 "IP:port; port 0 takes a free one")
      ->capture_default_str();
  App.add_option("--control", Options.m_Control,
                 "IP:port of POST /mode; port 0 takes a free one")
      ->capture_default_str();
  CLI11_PARSE(App, Count, Arguments);

  const TerminationSignals Signals;
  EventLog::open("", "relay");
  try {
    const Relay Running(Options);
    logEvent(
        LogLevel::Info, "listening",
        {{"relay", Running.address()}, {"control", Running.controlAddress()}});
    Signals.wait();
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "failed", {{"reason", Fault.what()}});
    return 1;
  }
  return 0;
}
