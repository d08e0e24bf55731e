// Derives from the operators' records which failure domains are evacuated.
#pragma once

#include "core/EvacuationView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamencroft {

/// Consumes the records of a keyed topic as a TopicFollower delivers them.
class EvacuationTracker {
public:
  /// An operator has requested the evacuation of \p Domain, or its restoration.
  /// Requests that an earlier view includes are ignored.
  void apply(const std::string &Domain, bool Evacuated, std::uint64_t Offset);

  /// All records before \p End have been applied. Returns the first view, and
  /// each later one that includes a new request.
  std::optional<EvacuationView> advance(std::uint64_t End);

private:
  struct Request {
    bool m_Evacuated = false;
    std::uint64_t m_Offset = 0;
  };

  /// Latest request for each domain; a restored one is removed with the view
  /// that includes the restoration.
  std::map<std::string, Request> m_Requests;
  /// Offset of the latest view.
  std::uint64_t m_End = 0;
};

} // namespace cyclamencroft
