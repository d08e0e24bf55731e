// Owns the threads of an entry: one for the core and several for HTTP, all of
// which run EntryLoop.
#include "cyclamencroft/EntryDaemon.h"

#include "entry/EntryLoop.h"
#include "telemetry/EventLog.h"

#include <random>
#include <stdexcept>
#include <thread>
#include <vector>

namespace cyclamencroft {
namespace {

std::uint64_t drawNumber() {
  std::random_device Device;
  return static_cast<std::uint64_t>(Device()) << 32 | Device();
}

/// The listen address with the port that was bound.
std::string boundAddress(const std::string &Listen, std::uint16_t Port) {
  return Listen.substr(0, Listen.rfind(':') + 1) + std::to_string(Port);
}

EntryOptions optionsOf(const EntrySettings &Settings, std::uint64_t Seed) {
  EntryOptions Options;
  Options.m_EntryId = Settings.m_Id;
  Options.m_Incarnation = Incarnation(drawNumber());
  Options.m_FailureDomain = Settings.m_FailureDomain;
  Options.m_ConfiguredEntries = Settings.m_Entries;
  Options.m_Seed = Seed == 0 ? drawNumber() : Seed;
  return Options;
}

} // namespace

class EntryDaemon::Impl {
public:
  Impl(const EntrySettings &Settings, std::uint64_t Seed, ConfigStatePtr Config)
      : m_Settings(Settings), m_Loop(Settings, optionsOf(Settings, Seed)),
        m_Config(std::move(Config)) {}

  ~Impl() { stop(); }
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  void start() {
    m_Loop.start(m_Config);
    m_Threads.emplace_back([this] { m_Loop.runCore(); });
    for (std::uint32_t I = 0; I < m_Settings.m_HttpThreads; ++I)
      m_Threads.emplace_back([this] { m_Loop.runHttp(); });
    logEvent(
        LogLevel::Info, "listening",
        {{"http", boundAddress(m_Settings.m_HttpListen, m_Loop.httpPort())},
         {"link", boundAddress(m_Settings.m_LinkListen, m_Loop.linkPort())}});
  }

  void stop() {
    if (m_Threads.empty())
      return;
    m_Loop.stop();
    for (std::thread &Thread : m_Threads)
      Thread.join();
    m_Threads.clear();
    std::string RequestIds;
    const std::size_t Unanswered = m_Loop.waitingCallers(RequestIds);
    m_Loop.closeAll();
    if (Unanswered != 0)
      logEvent(LogLevel::Warning, "shutdown-interrupted",
               {{"entry", m_Settings.m_Id},
                {"callers", std::to_string(Unanswered)},
                {"requests", RequestIds}});
    logEvent(LogLevel::Info, "stopped", {{"entry", m_Settings.m_Id}});
  }

  const EntrySettings m_Settings;
  EntryLoop m_Loop;

private:
  const ConfigStatePtr m_Config;
  std::vector<std::thread> m_Threads;
};

EntryDaemon::Builder &EntryDaemon::Builder::settings(EntrySettings Value) {
  m_Settings = std::move(Value);
  return *this;
}

EntryDaemon::Builder &EntryDaemon::Builder::seed(std::uint64_t Value) {
  m_Seed = Value;
  return *this;
}

EntryDaemon::Builder &
EntryDaemon::Builder::configuration(ConfigStatePtr Value) {
  m_Configuration = std::move(Value);
  return *this;
}

std::unique_ptr<EntryDaemon> EntryDaemon::Builder::build() {
  if (m_Settings.m_LogAddress.empty() && !m_Configuration)
    throw std::runtime_error(
        "build entry: neither a log address nor a configuration is set");
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(
      std::make_unique<Impl>(m_Settings, m_Seed, m_Configuration)));
}

EntryDaemon::EntryDaemon(std::unique_ptr<Impl> Implementation)
    : m_Impl(std::move(Implementation)) {}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::start() { m_Impl->start(); }

std::uint16_t EntryDaemon::httpPort() const {
  return m_Impl->m_Loop.httpPort();
}

std::uint16_t EntryDaemon::linkPort() const {
  return m_Impl->m_Loop.linkPort();
}

void EntryDaemon::requestShutdown() { m_Impl->m_Loop.requestShutdown(); }

void EntryDaemon::wait() { m_Impl->m_Loop.wait(); }

void EntryDaemon::stop() { m_Impl->stop(); }

} // namespace cyclamencroft
