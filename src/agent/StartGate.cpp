// Limit on concurrently running tasks at the endpoint.
#include "agent/StartGate.h"

#include <algorithm>

namespace cyclamencroft {

void StartGate::setEndpoint(const std::string &Address, std::uint32_t Slots,
                            std::uint32_t Connections) {
  m_Address = Address;
  m_Limit = std::min(Slots, Connections);
}

bool StartGate::hasCapacity() const { return running() < m_Limit; }

void StartGate::acquire() { ++m_Running[m_Address]; }

void StartGate::release(const std::string &Address) {
  const auto Found = m_Running.find(Address);
  if (Found != m_Running.end() && --Found->second == 0)
    m_Running.erase(Found);
}

std::uint32_t StartGate::running() const {
  const auto Found = m_Running.find(m_Address);
  return Found == m_Running.end() ? 0 : Found->second;
}

} // namespace cyclamencroft
