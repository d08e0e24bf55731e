// Failure domains that operators have evacuated, as one process knows them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

/// No run may be started at an endpoint of an evacuated failure domain until an
/// operator restores the domain. Requests and restorations are records of one
/// log, so a view is determined by the offset up to which it includes them, and
/// of two views the one with the higher offset is the newer one.
struct EvacuationView {
  /// All requests before this offset are included; 0 while nothing is known.
  std::uint64_t m_Offset = 0;
  /// Evacuated domains, sorted.
  std::vector<std::string> m_Domains;

  bool isNewerThan(const EvacuationView &Other) const {
    return m_Offset > Other.m_Offset;
  }
  bool contains(std::string_view Domain) const;
};

/// Returns the domains, separated by commas, for log lines; "none" when there
/// are none.
std::string describe(const EvacuationView &View);

} // namespace cyclamencroft
