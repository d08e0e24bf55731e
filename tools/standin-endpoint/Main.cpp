// Runs a stand-in endpoint until SIGINT or SIGTERM.
#include "bench/StandinEndpoint.h"
#include "telemetry/EventLog.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using namespace cyclamencroft;

struct Arguments {
  StandinOptions m_Options;
  std::int64_t m_RunMs = 100;
  std::int64_t m_LateMs = 5000;
  std::string m_Mode = "normal";
  std::uint32_t m_Cores = 0;
};

void addOptions(CLI::App &App, Arguments &Into) {
  StandinOptions &Options = Into.m_Options;
  App.add_option("--agent", Options.m_AgentAddress,
                 "HTTP address of the agent (IP:port)");
  App.add_option("--listen", Options.m_Listen, "IP:port; port 0 takes any");
  App.add_option("--service", Options.m_Service, "service to announce");
  App.add_option("--slots", Options.m_Slots, "slots to announce");
  App.add_option("--connections", Options.m_Connections,
                 "connections to announce");
  App.add_option("--cores", Into.m_Cores, "cores to announce");
  App.add_option("--memory-mib", Options.m_Size.m_MemoryMiB,
                 "memory to announce");
  App.add_option("--accelerators", Options.m_Size.m_Accelerators,
                 "accelerators to announce");
  App.add_option("--run-ms", Into.m_RunMs,
                 "run time of a task whose body names none");
  App.add_option("--late-ms", Into.m_LateMs, "delay added in mode late");
  App.add_option("--factor", Options.m_StragglerFactor,
                 "multiple of the run time in mode straggle");
  App.add_option("--mode", Into.m_Mode, "mode at start")
      ->check(CLI::IsMember(
          {"normal", "fail", "straggle", "hang", "late", "truncate", "leave"}));
}

int serve(const Arguments &Given) {
  StandinOptions Options = Given.m_Options;
  Options.m_Size.m_MilliCores = wholeCores(Given.m_Cores);
  Options.m_RunTime = std::chrono::milliseconds(Given.m_RunMs);
  Options.m_ExtraDelay = std::chrono::milliseconds(Given.m_LateMs);
  Options.m_Mode = *standinModeNamed(Given.m_Mode);
  EventLog::open("", "standin-endpoint");
  boost::asio::io_context Io(1);
  StandinEndpoint Endpoint(Io, Options);
  logEvent(LogLevel::Info, "listening", {{"http", Endpoint.address()}});
  Endpoint.start();
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &, int) {
    Endpoint.stop();
    Io.stop();
  });
  Io.run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int Count, char **Texts) {
  CLI::App App("Stand-in endpoint");
  Arguments Given;
  addOptions(App, Given);
  CLI11_PARSE(App, Count, Texts);
  try {
    return serve(Given);
  } catch (const std::exception &Fault) {
    std::cerr << "cyclamencroft-standin-endpoint: " << Fault.what() << '\n';
    return EXIT_FAILURE;
  }
}
