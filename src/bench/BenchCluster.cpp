// Starts and stops the daemons of a bench cluster. Stand-in endpoints share one
// thread; each daemon has its own.
#include "bench/BenchCluster.h"

#include "bench/StandinLog.h"
#include "config/ConfigRecord.h"
#include "core/Error.h"
#include "cyclamencroft/AgentDaemon.h"
#include "cyclamencroft/EntryDaemon.h"
#include "http/HttpClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <thread>

namespace cyclamencroft {
namespace {

constexpr std::chrono::seconds ReadyLimit{20};
constexpr std::chrono::milliseconds PollInterval{20};
constexpr Duration StatusTimeout = std::chrono::seconds(5);

/// One worker: its agent and its endpoint.
struct Worker {
  std::unique_ptr<AgentDaemon> m_Agent;
  std::unique_ptr<StandinEndpoint> m_Endpoint;
};

std::string loopback(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Agent queue length for a policy. The baselines assign a task to an agent at
/// once and queue it there.
std::uint32_t agentQueueOf(const std::string &Policy) {
  constexpr std::uint32_t Unbounded = 1000;
  return Policy == "share" ? 0 : Unbounded;
}

std::string configurationText(const Deployment &Sizes,
                              const std::string &Policy) {
  return "preset = \"ordinary\"\n[services." + Sizes.m_Service +
         "]\ndefault_deadline_ms = 40000\nmax_deadline_ms = 60000\n"
         "[presets.ordinary]\nrouting = \"" +
         Policy + "\"\nagent_queue = " + std::to_string(agentQueueOf(Policy)) +
         "\nhedging = " + (Sizes.m_Hedging ? "true" : "false") + "\n";
}

/// Status page of an entry; null when the entry doesn't respond.
nlohmann::json entryStatus(const std::string &Address) {
  nlohmann::json Page;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(Response, httpCall(Address, "GET", "/v1/status", {}, "",
                                           StatusTimeout));
        Page = nlohmann::json::parse(Response.m_Body, nullptr, false);
        return {};
      },
      [] {});
  return Page;
}

void addEntry(MessageCounts &Total, const std::string &Address) {
  const nlohmann::json Page = entryStatus(Address);
  if (!Page.is_object())
    return;
  Total.m_Dispatches += Page.value("dispatches", std::uint64_t{0});
  Total.m_Control += Page.value("control_messages", std::uint64_t{0});
}

void add(MessageCounts &Total, const AgentStatusReport &Status) {
  Total.m_Results += Status.m_Results;
  Total.m_Refusals += Status.m_Refusals;
  Total.m_Control += Status.m_ControlMessages;
}

} // namespace

class BenchCluster::Impl {
public:
  Impl(const Deployment &Sizes, const std::string &Policy,
       std::uint32_t Entries)
      : m_Sizes(Sizes),
        m_WorkGuard(boost::asio::make_work_guard(m_EndpointIo)) {
    publish(configurationText(Sizes, Policy));
    for (std::uint32_t I = 0; I < Entries; ++I)
      startEntry(I, Entries);
    for (std::uint32_t I = 0; I < Sizes.m_Workers; ++I)
      startWorker(I);
    m_EndpointThread = std::thread([this] { m_EndpointIo.run(); });
    waitUntilReady();
  }

  ~Impl() {
    m_EndpointIo.stop();
    m_EndpointThread.join();
    for (Worker &W : m_Workers)
      if (W.m_Agent)
        W.m_Agent->stop();
    for (const auto &Entry : m_Entries)
      if (Entry)
        Entry->stop();
  }

  std::vector<std::string> entryAddresses() const { return m_EntryAddresses; }

  void killWorker(std::uint32_t Index) {
    Worker &Target = m_Workers.at(Index);
    add(m_EndedCounts, Target.m_Agent->status());
    Target.m_Agent->stop();
    Target.m_Agent.reset();
    boost::asio::post(m_EndpointIo, [&Target] { Target.m_Endpoint->stop(); });
  }

  void killEntry(std::uint32_t Index) {
    std::unique_ptr<EntryDaemon> &Target = m_Entries.at(Index);
    addEntry(m_EndedCounts, m_EntryAddresses.at(Index));
    Target->stop();
    Target.reset();
  }

  void setMode(std::uint32_t Index, StandinMode Mode) {
    m_Workers.at(Index).m_Endpoint->setMode(Mode);
  }

  void stopLog() {
    StandinLogMode Down;
    Down.m_Down = LogDown::Reset;
    m_Log.setMode(Down);
  }

  MessageCounts messages() const {
    MessageCounts Total = m_EndedCounts;
    for (std::size_t I = 0; I < m_Entries.size(); ++I)
      if (m_Entries[I])
        addEntry(Total, m_EntryAddresses[I]);
    for (const Worker &W : m_Workers)
      if (W.m_Agent)
        add(Total, W.m_Agent->status());
    return Total;
  }

private:
  void publish(const std::string &Document) {
    DocumentChange Change;
    Change.m_Header.m_ChangeId = "bench";
    Change.m_Header.m_Author = "bench";
    Change.m_Document = Document;
    m_Log.append("config", formatConfigRecord(Change));
  }

  void startEntry(std::uint32_t Index, std::uint32_t Entries) {
    EntrySettings Settings;
    Settings.m_Id = "entry-" + std::to_string(Index + 1);
    Settings.m_FailureDomain = "bench";
    Settings.m_Entries = Entries;
    Settings.m_LogAddress = m_Log.address();
    Settings.m_Peers = m_LinkAddresses;
    m_Entries.push_back(EntryDaemon::Builder().settings(Settings).build());
    m_Entries.back()->start();
    m_EntryAddresses.push_back(loopback(m_Entries.back()->httpPort()));
    m_LinkAddresses.push_back(loopback(m_Entries.back()->linkPort()));
  }

  void startWorker(std::uint32_t Index) {
    AgentSettings Settings;
    Settings.m_Id = "agent-" + std::to_string(Index + 1);
    Settings.m_FailureDomain = "bench";
    Settings.m_Rack =
        "rack-" + std::to_string(Index / m_Sizes.m_WorkersPerRack + 1);
    Settings.m_Entries = m_LinkAddresses;
    Worker Started;
    Started.m_Agent = AgentDaemon::Builder(Settings).build();
    Started.m_Agent->start();
    StandinOptions Options;
    Options.m_Service = m_Sizes.m_Service;
    Options.m_AgentAddress = loopback(Started.m_Agent->httpPort());
    Options.m_Slots = m_Sizes.m_Slots;
    Options.m_Connections = m_Sizes.m_Connections;
    Options.m_Size = {wholeCores(m_Sizes.m_Cores), m_Sizes.m_MemoryMiB, 0};
    Started.m_Endpoint =
        std::make_unique<StandinEndpoint>(m_EndpointIo, Options);
    Started.m_Endpoint->start();
    m_Workers.push_back(std::move(Started));
  }

  bool ready() const {
    for (const std::string &Address : m_EntryAddresses) {
      const nlohmann::json Page = entryStatus(Address);
      if (!Page.is_object() || !Page.value("ready", false) ||
          Page.value("available_agents", 0U) != m_Sizes.m_Workers)
        return false;
    }
    for (const Worker &W : m_Workers)
      if (!W.m_Agent->status().m_Ready)
        return false;
    return true;
  }

  void waitUntilReady() const {
    const auto End = std::chrono::steady_clock::now() + ReadyLimit;
    while (!ready()) {
      if (std::chrono::steady_clock::now() >= End)
        throw std::runtime_error("the bench cluster did not become ready");
      std::this_thread::sleep_for(PollInterval);
    }
  }

  const Deployment m_Sizes;
  StandinLog m_Log;
  boost::asio::io_context m_EndpointIo{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_WorkGuard;
  std::thread m_EndpointThread;
  std::vector<std::string> m_EntryAddresses;
  std::vector<std::string> m_LinkAddresses;
  /// Invariant: the pointer of a stopped daemon is null, and its message counts
  /// are included in m_EndedCounts.
  std::vector<std::unique_ptr<EntryDaemon>> m_Entries;
  std::vector<Worker> m_Workers;
  MessageCounts m_EndedCounts;
};

BenchCluster::BenchCluster(const Deployment &Sizes, const std::string &Policy,
                           std::uint32_t Entries)
    : m_Impl(std::make_unique<Impl>(Sizes, Policy, Entries)) {}

BenchCluster::~BenchCluster() = default;

std::vector<std::string> BenchCluster::entryAddresses() const {
  return m_Impl->entryAddresses();
}

void BenchCluster::killWorker(std::uint32_t Worker) {
  m_Impl->killWorker(Worker);
}

void BenchCluster::killEntry(std::uint32_t Entry) { m_Impl->killEntry(Entry); }

void BenchCluster::setMode(std::uint32_t Worker, StandinMode Mode) {
  m_Impl->setMode(Worker, Mode);
}

void BenchCluster::stopLog() { m_Impl->stopLog(); }

MessageCounts BenchCluster::messages() const { return m_Impl->messages(); }

} // namespace cyclamencroft
