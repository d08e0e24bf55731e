// Concurrency limit: counts the running tasks of each endpoint address, so that
// an endpoint never runs more tasks than its slots and connections allow.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cyclamencroft {

class StartGate {
public:
  /// Sets the endpoint at which new tasks are started. Tasks still running at
  /// another address don't count against its limit.
  void setEndpoint(const std::string &Address, std::uint32_t Slots,
                   std::uint32_t Connections);

  bool hasCapacity() const;
  /// Counts a task that starts at the current endpoint. \pre hasCapacity().
  void acquire();
  /// Stops counting a task that was started while \p Address was the endpoint.
  void release(const std::string &Address);

  /// Number of tasks running at the current endpoint.
  std::uint32_t running() const;

private:
  std::string m_Address;
  /// Smaller of slots and connections: each running task uses one of each.
  std::uint32_t m_Limit = 0;
  /// Running tasks by endpoint address; holds no zero counts.
  std::map<std::string, std::uint32_t> m_Running;
};

} // namespace cyclamencroft
