// Runs the entries, agents, stand-in endpoints and stand-in log of one
// deployment in one process, connected over loopback sockets like separate
// hosts.
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
  /// Starts all daemons and stand-ins and waits until every entry reports every
  /// agent as available. \p Policy is a routing name of the configuration
  /// document. Throws std::runtime_error when the cluster does not become
  /// ready.
  BenchCluster(const Deployment &Sizes, const std::string &Policy,
               std::uint32_t Entries);
  ~BenchCluster();
  BenchCluster(const BenchCluster &) = delete;
  BenchCluster &operator=(const BenchCluster &) = delete;

  /// HTTP addresses of the entries.
  std::vector<std::string> entryAddresses() const;

  /// Stops the agent and endpoint of a worker at once.
  void killWorker(std::uint32_t Worker);
  /// Stops an entry at once.
  void killEntry(std::uint32_t Entry);
  void setMode(std::uint32_t Worker, StandinMode Mode);
  /// Makes the log reset every connection from now on.
  void stopLog();

  /// Messages sent so far, including those of stopped entries and agents.
  MessageCounts messages() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
