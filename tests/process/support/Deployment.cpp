// Starts each process with port 0 and reads the assigned ports from its log.
#include "process/support/Deployment.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace cyclamencroft::test {
namespace {

constexpr std::chrono::milliseconds StartTimeout{15000};
constexpr std::chrono::milliseconds CliTimeout{60000};
constexpr std::chrono::milliseconds PollInterval{10};
constexpr Duration CallTimeout = std::chrono::seconds(60);
constexpr char Service[] = "permit-desk";

std::string quotedList(const std::vector<std::string> &Values) {
  std::string Text = "[";
  for (const std::string &Value : Values)
    Text += (Text.size() > 1 ? ", \"" : "\"") + Value + '"';
  return Text + "]";
}

/// Waits until \p Process listens; daemons report a port, stand-ins an address.
std::string waitForListener(const ChildProcess &Process,
                            std::string_view Listener) {
  const std::string Value =
      Process.waitForField("listening", Listener, StartTimeout);
  return Value.find(':') == std::string::npos ? "127.0.0.1:" + Value : Value;
}

} // namespace

const char Deployment::TestConfiguration[] = R"(
preset = "ordinary"
[services.permit-desk]
default_deadline_ms = 20000
max_deadline_ms = 60000
[teams.markets]
starts_per_second = 1000
[presets.ordinary]
routing = "share"
[presets.peak]
routing = "share"
queue_limit = 500
[presets.maintenance]
routing = "share"
drained_failure_domains = ["quimper-b"]
)";

Deployment::Deployment() {
  char Folder[] = "/tmp/cyclamencroft-test-XXXXXX";
  if (!mkdtemp(Folder))
    throw std::runtime_error("cannot make a folder under /tmp");
  m_Folder = Folder;
}

Deployment::~Deployment() {
  m_Endpoints.clear();
  m_Agents.clear();
  m_Entries.clear();
  m_Relays.clear();
  m_Log.m_Process.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

std::string Deployment::pathOf(const std::string &Name) const {
  return m_Folder + '/' + Name;
}

std::string Deployment::writeFile(const std::string &Name,
                                  const std::string &Text) {
  std::ofstream(pathOf(Name)) << Text;
  return pathOf(Name);
}

void Deployment::startLog(std::vector<std::string> Options) {
  m_Log.m_Process = std::make_unique<ChildProcess>(
      "cyclamencroft-standin-log", std::move(Options), pathOf("log.out"));
  m_Log.m_Http = waitForListener(*m_Log.m_Process, "http");
}

Node &Deployment::startEntry(const std::string &HttpListen,
                             const std::string &LinkListen) {
  const std::string Id = "entry-" + std::to_string(++m_Started);
  std::vector<std::string> Peers;
  for (const auto &Entry : m_Entries)
    Peers.push_back(Entry->m_Link);
  const std::string Settings = writeFile(
      Id + ".toml",
      "id = \"" + Id + "\"\nfailure_domain = \"quimper-a\"\n" +
          "peers = " + quotedList(Peers) +
          "\nentries = 2\n[listen]\nhttp = \"" + HttpListen + "\"\nlink = \"" +
          LinkListen + "\"\n[log]\naddress = \"" + m_Log.m_Http +
          "\"\n[telemetry]\nspan_file = \"" + pathOf(Id + ".spans") + "\"\n");
  auto Entry = std::make_unique<Node>();
  Entry->m_Process = std::make_unique<ChildProcess>(
      "cyclamencroft-entry", std::vector<std::string>{"--settings", Settings},
      pathOf(Id + ".out"));
  Entry->m_Http = waitForListener(*Entry->m_Process, "http");
  Entry->m_Link = waitForListener(*Entry->m_Process, "link");
  m_Entries.push_back(std::move(Entry));
  return *m_Entries.back();
}

Node &Deployment::startAgent(std::vector<std::string> Links,
                             const std::string &FailureDomain) {
  const std::string Id = "agent-" + std::to_string(++m_Started);
  if (Links.empty())
    for (const auto &Entry : m_Entries)
      Links.push_back(Entry->m_Link);
  const std::string Settings = writeFile(
      Id + ".toml",
      "id = \"" + Id + "\"\nfailure_domain = \"" + FailureDomain +
          "\"\nrack = \"rack-1\"\nentries = " + quotedList(Links) +
          "\n[telemetry]\nspan_file = \"" + pathOf(Id + ".spans") + "\"\n");
  auto Agent = std::make_unique<Node>();
  Agent->m_Process = std::make_unique<ChildProcess>(
      "cyclamencroft-agent", std::vector<std::string>{"--settings", Settings},
      pathOf(Id + ".out"));
  Agent->m_Http = waitForListener(*Agent->m_Process, "http");
  m_Agents.push_back(std::move(Agent));
  return *m_Agents.back();
}

Node &Deployment::startEndpoint(const Node &Agent,
                                std::vector<std::string> Options) {
  std::vector<std::string> Arguments = {"--agent", Agent.m_Http, "--service",
                                        Service};
  Arguments.insert(Arguments.end(), Options.begin(), Options.end());
  auto Endpoint = std::make_unique<Node>();
  Endpoint->m_Process = std::make_unique<ChildProcess>(
      "cyclamencroft-standin-endpoint", Arguments,
      pathOf("endpoint-" + std::to_string(++m_Started) + ".out"));
  Endpoint->m_Http = waitForListener(*Endpoint->m_Process, "http");
  m_Endpoints.push_back(std::move(Endpoint));
  return *m_Endpoints.back();
}

Node &Deployment::startRelay(const std::string &Target) {
  auto Relay = std::make_unique<Node>();
  Relay->m_Process = std::make_unique<ChildProcess>(
      "cyclamencroft-relay", std::vector<std::string>{"--target", Target},
      pathOf("relay-" + std::to_string(++m_Started) + ".out"));
  Relay->m_Http = waitForListener(*Relay->m_Process, "control");
  Relay->m_Link = waitForListener(*Relay->m_Process, "relay");
  m_Relays.push_back(std::move(Relay));
  return *m_Relays.back();
}

void Deployment::startCluster(std::size_t Entries, std::size_t Agents,
                              const std::vector<std::string> &EndpointOptions) {
  startLog();
  for (std::size_t I = 0; I < Entries; ++I)
    startEntry();
  for (std::size_t I = 0; I < Agents; ++I)
    startEndpoint(startAgent(), EndpointOptions);
  if (publish(TestConfiguration) != 0)
    throw std::runtime_error("the test configuration was not accepted");
  waitForAgents(Agents);
}

int Deployment::publish(const std::string &Document) {
  const std::string File =
      writeFile("config-" + std::to_string(++m_Started) + ".toml", Document);
  return runCli({"config", "publish", File, "--log", m_Log.m_Http});
}

int Deployment::runCli(std::vector<std::string> Arguments,
                       std::string *Output) {
  ChildProcess Cli("cyclamencroft", std::move(Arguments),
                   pathOf("cli-" + std::to_string(++m_Started) + ".out"));
  if (!Cli.waitForExit(CliTimeout))
    throw std::runtime_error("the command line did not end: " + Cli.output());
  if (Output)
    *Output = Cli.output();
  return Cli.exitCode();
}

void Deployment::waitUntil(const std::function<bool()> &Done,
                           const std::string &What,
                           std::chrono::milliseconds Timeout) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Done()) {
    if (std::chrono::steady_clock::now() >= End)
      throw std::runtime_error("timed out waiting until " + What);
    std::this_thread::sleep_for(PollInterval);
  }
}

void Deployment::waitForAgents(std::size_t Agents) {
  for (const auto &Entry : m_Entries)
    waitUntil(
        [&] {
          const auto Status = getJson(Entry->m_Http, "/v1/status");
          return Status.is_object() && Status.value("ready", false) &&
                 Status.value("available_agents", std::size_t{0}) == Agents;
        },
        "an entry is ready with its agents", StartTimeout);
}

nlohmann::json Deployment::getJson(const std::string &Address,
                                   const std::string &Target) {
  nlohmann::json Json;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(Response, httpCall(Address, "GET", Target, {}, "",
                                           std::chrono::seconds(2)));
        if (Response.m_Status == 200)
          Json = nlohmann::json::parse(Response.m_Body, nullptr, false);
        return {};
      },
      [] {});
  return Json;
}

HttpResponse Deployment::post(const std::string &Address,
                              const std::string &Target,
                              const HttpHeaders &Headers,
                              const std::string &Body) {
  HttpResponse Response;
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_ASSIGN(Response, httpCall(Address, "POST", Target, Headers,
                                             Body, CallTimeout));
        return {};
      },
      [](const Error &E) { throw std::runtime_error(E.describe()); },
      [] { throw std::runtime_error("unknown error"); });
  return Response;
}

HttpResponse Deployment::call(const std::string &Entry, const std::string &Body,
                              const HttpHeaders &Headers) {
  return post(Entry, std::string("/v1/services/") + Service + "/requests",
              Headers, Body);
}

HttpResponse Deployment::submit(const std::string &Entry,
                                const std::vector<std::string> &Tasks,
                                const HttpHeaders &Headers) {
  return post(Entry, std::string("/v1/services/") + Service + "/jobs", Headers,
              nlohmann::json({{"tasks", Tasks}}).dump());
}

void Deployment::postMode(const Node &Target, const std::string &Json) {
  const HttpResponse Response = post(Target.m_Http, "/mode", {}, Json);
  if (Response.m_Status >= 300)
    throw std::runtime_error("mode refused: " + Response.m_Body);
}

std::uint64_t Deployment::sumStarts(const std::string &Member) {
  std::uint64_t Sum = 0;
  for (const auto &Endpoint : m_Endpoints)
    if (Endpoint->m_Process->pid() > 0)
      Sum += getJson(Endpoint->m_Http, "/starts").value(Member, 0ULL);
  return Sum;
}

std::map<std::string, std::uint64_t> Deployment::startsByTask() {
  std::map<std::string, std::uint64_t> Sum;
  for (const auto &Endpoint : m_Endpoints) {
    const nlohmann::json Tasks = getJson(Endpoint->m_Http, "/tasks");
    for (const auto &[Task, Count] : Tasks.items())
      Sum[Task] += Count.get<std::uint64_t>();
  }
  return Sum;
}

void Deployment::terminateAll() {
  for (const auto *Nodes : {&m_Entries, &m_Agents, &m_Endpoints})
    for (const auto &Each : *Nodes) {
      Each->m_Process->sendSignal(SIGTERM);
      Each->m_Process->waitForExit(StartTimeout);
    }
}

std::vector<nlohmann::json> Deployment::readSpans() const {
  std::vector<nlohmann::json> Spans;
  for (const auto &File : std::filesystem::directory_iterator(m_Folder)) {
    if (File.path().extension() != ".spans")
      continue;
    std::ifstream In(File.path());
    for (std::string Line; std::getline(In, Line);) {
      const auto Json = nlohmann::json::parse(Line);
      for (const auto &Resource : Json["resourceSpans"])
        for (const auto &Scope : Resource["scopeSpans"])
          for (const auto &Span : Scope["spans"])
            Spans.push_back(Span);
    }
  }
  return Spans;
}

} // namespace cyclamencroft::test
