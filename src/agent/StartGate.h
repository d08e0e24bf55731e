// Counts running tasks for each endpoint address, so that an endpoint never
// holds more than its slots and connections allow.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cyclamencroft {

class StartGate {
public:
  /// Sets the endpoint that new tasks are started at. Tasks still running at
  /// another address don't count against it.
  void setEndpoint(const std::string &Address, std::uint32_t Slots,
                   std::uint32_t Connections);

  bool hasRoom() const;
  /// Takes a place at the present endpoint. \pre hasRoom().
  void enter();
  /// Gives back a place taken while \p Address was the endpoint.
  void leave(const std::string &Address);

  /// Tasks running at the present endpoint.
  std::uint32_t running() const;

private:
  std::string m_Address;
  /// Smaller of slots and connections: each running task uses one of both.
  std::uint32_t m_Limit = 0;
  /// Running tasks by endpoint address; holds no zero counts.
  std::map<std::string, std::uint32_t> m_Running;
};

} // namespace cyclamencroft
