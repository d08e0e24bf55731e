// State of one agent as seen by an entry, for operators.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamencroft {

struct AgentReport {
  std::string m_Id;
  std::string m_Service;
  std::string m_FailureDomain;
  std::string m_Rack;
  std::string m_Endpoint;
  std::uint32_t m_Slots = 0;
  /// Tasks of this entry that are dispatched to the agent and not yet settled.
  std::uint64_t m_Outstanding = 0;
  /// "available", or the reason why the agent gets few or no new tasks:
  /// "link-lost", "in-doubt", "suspected", "leaving", "drained", "superseded",
  /// "no-endpoint", "ejected", "readmitted", "straggler".
  std::string_view m_State;
};

} // namespace cyclamencroft
