// Agent daemon: the sidecar of one endpoint.
#include "cyclamencroft/AgentDaemon.h"

#include "core/StartupSignals.h"
#include "settings/SettingsReader.h"
#include "telemetry/EventLog.h"
#include "telemetry/ReloadSignal.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <thread>

namespace {

using namespace cyclamencroft;

/// Returns the settings, or nothing after printing all errors in them.
std::optional<AgentSettings> readSettings(const std::string &File) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<AgentSettings>> {
        BOOST_LEAF_AUTO(Settings, readAgentSettings(File));
        return std::optional<AgentSettings>(std::move(Settings));
      },
      [](const SettingsFaults &Faults) -> std::optional<AgentSettings> {
        for (const std::string &Fault : Faults.m_Faults)
          std::cerr << Fault << '\n';
        return std::nullopt;
      },
      []() -> std::optional<AgentSettings> {
        std::cerr << "the settings could not be read\n";
        return std::nullopt;
      });
}

/// The first signal drains the agent, the second one stops it at once.
void awaitSignal(boost::asio::signal_set &Signals, AgentDaemon &Daemon,
                 bool Draining) {
  Signals.async_wait([&Signals, &Daemon, Draining](
                         const boost::system::error_code &Fault, int Number) {
    if (Fault)
      return;
    logEvent(LogLevel::Info, "signal",
             {{"number", std::to_string(Number)},
              {"effect", Draining ? "stop" : "drain"}});
    if (Draining)
      return Daemon.stop();
    Daemon.requestShutdown();
    awaitSignal(Signals, Daemon, true);
  });
}

int serve(const AgentSettings &Settings) {
  EventLog::open(Settings.m_LogFile, Settings.m_Id);
  boost::asio::io_context Io(1);
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  ReloadSignal Reload(Io, Settings.m_Id);
  const auto Daemon = AgentDaemon::Builder(Settings).build();
  Daemon->start();
  awaitSignal(Signals, *Daemon, false);
  Reload.start();
  std::thread SignalThread([&Io] { Io.run(); });
  releaseStartupSignals();
  const bool Drained = Daemon->wait();
  Io.stop();
  SignalThread.join();
  Daemon->stop();
  return Drained ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int Count, char **Arguments) {
  holdStartupSignals();
  CLI::App App("Agent of one endpoint");
  std::string File;
  App.add_option("--settings", File, "settings file (TOML)")->required();
  CLI11_PARSE(App, Count, Arguments);
  const auto Settings = readSettings(File);
  if (!Settings)
    return EXIT_FAILURE;
  try {
    return serve(*Settings);
  } catch (const std::exception &Fault) {
    std::cerr << "cyclamencroft-agent: " << Fault.what() << '\n';
    return EXIT_FAILURE;
  }
}
