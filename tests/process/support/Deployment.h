// A small deployment of separate processes on loopback: the log stand-in,
// entries, agents and endpoint stand-ins, with settings in a folder of its own.
#pragma once

#include "http/HttpClient.h"
#include "process/support/ChildProcess.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace cyclamencroft::test {

/// A started process with the addresses that it reported.
struct Node {
  std::unique_ptr<ChildProcess> m_Process;
  /// "IP:port"; empty when the process has no such listener.
  std::string m_Http;
  std::string m_Link;
};

class Deployment {
public:
  Deployment();
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  void startLog(std::vector<std::string> Options = {});
  /// The entry connects to every entry started before it. A fixed address
  /// starts a replacement at the same place.
  Node &startEntry(const std::string &HttpListen = "127.0.0.1:0",
                   const std::string &LinkListen = "127.0.0.1:0");
  /// The agent connects to \p Links, or to every entry started so far.
  Node &startAgent(std::vector<std::string> Links = {},
                   const std::string &FailureDomain = "quimper-a");
  /// The endpoint announces itself to \p Agent. \p Options follow the usual
  /// ones on its command line.
  Node &startEndpoint(const Node &Agent, std::vector<std::string> Options = {});
  Node &startRelay(const std::string &Target);

  /// Starts the log, \p Entries entries and \p Agents agents with an endpoint
  /// each, with the test configuration published and every entry connected to
  /// every agent.
  void startCluster(std::size_t Entries, std::size_t Agents,
                    const std::vector<std::string> &EndpointOptions = {});

  /// Publishes configuration text through the command line; returns its exit
  /// code.
  int publish(const std::string &Document);
  /// Runs the command line; returns its exit code and puts its output into
  /// \p Output when given.
  int runCli(std::vector<std::string> Arguments, std::string *Output = nullptr);

  /// Waits until every entry is ready and has \p Agents agents.
  void waitForAgents(std::size_t Agents);
  /// Waits until \p Done is true; throws with \p What after \p Timeout.
  static void waitUntil(const std::function<bool()> &Done,
                        const std::string &What,
                        std::chrono::milliseconds Timeout);

  /// GET of a JSON document; null when there is no valid answer.
  static nlohmann::json getJson(const std::string &Address,
                                const std::string &Target);
  /// One request to a service; throws when the connection breaks.
  static HttpResponse call(const std::string &Entry, const std::string &Body,
                           const HttpHeaders &Headers = {});
  /// One job; \p Tasks are the task bodies.
  static HttpResponse submit(const std::string &Entry,
                             const std::vector<std::string> &Tasks,
                             const HttpHeaders &Headers = {});
  static void postMode(const Node &Target, const std::string &Json);

  /// POST to any route; throws when the connection breaks.
  static HttpResponse post(const std::string &Address,
                           const std::string &Target,
                           const HttpHeaders &Headers, const std::string &Body);

  /// Number of starts of each task ("request id/task index") over all
  /// endpoints.
  std::map<std::string, std::uint64_t> startsByTask();

  /// Sends SIGTERM to every entry, agent and endpoint in turn and waits until
  /// it has exited.
  void terminateAll();
  /// Every span that entries and agents have written.
  std::vector<nlohmann::json> readSpans() const;

  /// Path of a file in the deployment's folder.
  std::string pathOf(const std::string &Name) const;

  /// Sums a member of GET /starts over all endpoints.
  std::uint64_t sumStarts(const std::string &Member);

  Node m_Log;
  std::vector<std::unique_ptr<Node>> m_Entries;
  std::vector<std::unique_ptr<Node>> m_Agents;
  std::vector<std::unique_ptr<Node>> m_Endpoints;
  std::vector<std::unique_ptr<Node>> m_Relays;

  /// Configuration with the service "permit-desk", one team and the presets
  /// ordinary, peak and maintenance.
  static const char TestConfiguration[];

private:
  std::string writeFile(const std::string &Name, const std::string &Text);

  /// Removed by the destructor.
  std::string m_Folder;
  std::size_t m_Started = 0;
};

/// Fixture of suites whose cases each have a deployment of their own.
struct ClusterCase {
  Deployment m_Cluster;
};

} // namespace cyclamencroft::test
