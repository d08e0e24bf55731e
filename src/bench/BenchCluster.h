// Entries, agents, endpoint stand-ins and the log stand-in of one deployment in
// one process, connected over loopback sockets like separate hosts.
#pragma once

#include "bench/BenchReport.h"
#include "bench/Deployment.h"
#include "bench/StandinEndpoint.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft {

class BenchCluster {
public:
  /// Starts everything and waits until each entry knows each agent. \p Policy
  /// is a routing name of the configuration document. Throws
  /// std::runtime_error when the cluster does not become ready.
  BenchCluster(const Deployment &Sizes, const std::string &Policy,
               std::uint32_t Entries);
  ~BenchCluster();
  BenchCluster(const BenchCluster &) = delete;
  BenchCluster &operator=(const BenchCluster &) = delete;

  /// HTTP addresses of the entries.
  std::vector<std::string> entryAddresses() const;

  /// Ends the agent and endpoint of a worker at once.
  void killWorker(std::uint32_t Worker);
  /// Ends an entry at once.
  void killEntry(std::uint32_t Entry);
  void setMode(std::uint32_t Worker, StandinMode Mode);
  /// The log resets every connection from now on.
  void stopLog();

  /// Messages sent so far, ended processes included.
  MessageCounts messages() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
