// Entry daemon: reads settings, runs until SIGTERM or SIGINT, and drains.
#include "cyclamencroft/EntryDaemon.h"

#include "core/StartupSignals.h"
#include "settings/SettingsReader.h"
#include "telemetry/EventLog.h"
#include "telemetry/ReloadSignal.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <atomic>
#include <csignal>
#include <exception>
#include <iostream>
#include <string>
#include <thread>

#include <sys/resource.h>

using namespace cyclamencroft;

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFault = 1;
constexpr int ExitInterrupted = 3;

/// Thread that handles signals: the first drains the entry, the second stops it
/// at once.
class SignalThread {
public:
  SignalThread(EntryDaemon &Daemon, const std::string &ProcessId)
      : m_Daemon(Daemon), m_Signals(m_Io, SIGTERM, SIGINT),
        m_Reload(m_Io, ProcessId) {
    await();
    m_Reload.start();
    m_Thread = std::thread([this] { m_Io.run(); });
    releaseStartupSignals();
  }
  ~SignalThread() {
    m_Io.stop();
    m_Thread.join();
  }
  SignalThread(const SignalThread &) = delete;
  SignalThread &operator=(const SignalThread &) = delete;

  bool interrupted() const { return m_Interrupted; }

private:
  void await() {
    m_Signals.async_wait([this](boost::system::error_code Fault, int Number) {
      if (Fault)
        return;
      logEvent(LogLevel::Info, "signal", {{"number", std::to_string(Number)}});
      if (m_ShutdownRequested) {
        m_Interrupted = true;
        return m_Daemon.stop();
      }
      m_ShutdownRequested = true;
      m_Daemon.requestShutdown();
      await();
    });
  }

  EntryDaemon &m_Daemon;
  boost::asio::io_context m_Io;
  boost::asio::signal_set m_Signals;
  ReloadSignal m_Reload;
  bool m_ShutdownRequested = false;
  std::atomic<bool> m_Interrupted{false};
  std::thread m_Thread;
};

/// Raises the soft limit of open files to the hard limit, because the usual
/// soft limit of 1,024 is below the number of connections and links of an
/// entry.
void raiseFileLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  if (setrlimit(RLIMIT_NOFILE, &Limit) != 0)
    logEvent(LogLevel::Warning, "file-limit-not-raised", {});
}

int runDaemon(const EntrySettings &Settings) {
  EventLog::open(Settings.m_LogFile, Settings.m_Id);
  raiseFileLimit();
  try {
    const auto Daemon = EntryDaemon::Builder().settings(Settings).build();
    Daemon->start();
    bool Interrupted = false;
    {
      const SignalThread Signals(*Daemon, Settings.m_Id);
      Daemon->wait();
      Interrupted = Signals.interrupted();
    }
    Daemon->stop();
    return Interrupted ? ExitInterrupted : ExitOk;
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "start-failed", {{"reason", Fault.what()}});
    return ExitFault;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  holdStartupSignals();
  CLI::App App("Cyclamencroft entry: accepts requests and jobs and dispatches "
               "their tasks to agents.");
  std::string File;
  App.add_option("--settings", File, "Settings file (TOML)")->required();
  CLI11_PARSE(App, Count, Arguments);
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(Settings, readEntrySettings(File));
        return runDaemon(Settings);
      },
      [](const SettingsFaults &Faults) {
        for (const std::string &Fault : Faults.m_Faults)
          std::cerr << Fault << '\n';
        return ExitFault;
      },
      [] {
        std::cerr << "settings could not be read\n";
        return ExitFault;
      });
}
