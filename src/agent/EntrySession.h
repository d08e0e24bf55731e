// What an agent keeps for one entry address of its settings.
#pragma once

#include "agent/DelayEstimate.h"
#include "agent/RetainedResults.h"
#include "agent/SequenceWindow.h"
#include "core/Messages.h"

#include <cstdint>
#include <optional>

namespace cyclamencroft {

struct EntrySession {
  // The window and what belongs to it outlive a lost link; a new entry
  // incarnation at the address replaces them.

  /// Unique over all sessions of the agent, so that an entry reachable at two
  /// addresses never takes one window for the other.
  std::uint64_t m_WindowId = 0;
  /// Entry incarnation that the window belongs to; empty before the first.
  std::optional<Incarnation> m_Entry;
  SequenceWindow m_Window;
  RetainedResults m_Results;
  /// Kept for the incarnation and not for one link, so that the first dispatch
  /// on a new link after a freeze is measured against earlier ones.
  DelayEstimate m_Delay;
  /// A shutdown waits until then for the entry to come back for its results.
  TimePoint m_ReturnUntil = TimePoint::min();

  // The rest belongs to the open link.

  std::optional<LinkId> m_Link;
  std::string m_EntryId;
  /// The entry's hello has arrived; other messages are accepted.
  bool m_HelloReceived = false;
  /// Last hello sent, updated by each status sent after it.
  AgentHello m_Told;
  /// Number of a Ping that marks a change of service. Dispatches received
  /// before its Pong were sent for the earlier service and are refused.
  std::optional<std::uint64_t> m_ServiceChangePing;
  TimePoint m_LastSent{};
  TimePoint m_LastHeard{};
};

} // namespace cyclamencroft
