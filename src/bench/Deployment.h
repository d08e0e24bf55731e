// Sizes of the two deployments that the bench reproduces.
#pragma once

#include <cstdint>
#include <string>

namespace cyclamencroft {

struct Deployment {
  std::string m_Name;
  std::string m_Service;
  std::uint32_t m_Workers = 11;
  std::uint32_t m_Slots = 8;
  std::uint32_t m_Connections = 64;
  std::uint32_t m_WorkersPerRack = 3;
  std::uint32_t m_Cores = 64;
  std::uint32_t m_MemoryMiB = 131072;
  /// Whether the deployment's preset for ordinary days enables hedging.
  bool m_Hedging = false;

  std::uint32_t totalSlots() const { return m_Workers * m_Slots; }
};

/// The deployment called \p Name ("regie" or "salgema"); throws
/// std::invalid_argument for another name.
Deployment deploymentNamed(const std::string &Name);

} // namespace cyclamencroft
