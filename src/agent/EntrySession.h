// State that an agent keeps for one entry address of its settings.
#pragma once

#include "agent/DelayEstimate.h"
#include "agent/RetainedResults.h"
#include "agent/SequenceWindow.h"
#include "core/Messages.h"

#include <cstdint>
#include <optional>

namespace cyclamencroft {

struct EntrySession {
  // The window and the members that belong to it are kept when the link is
  // lost. A new entry incarnation at the address replaces them.

  /// Unique over all sessions of the agent, so that an entry reachable at two
  /// addresses never confuses their windows.
  std::uint64_t m_WindowId = 0;
  /// Entry incarnation that the window belongs to; empty before the first.
  std::optional<Incarnation> m_Entry;
  SequenceWindow m_Window;
  RetainedResults m_Results;
  /// Kept per entry incarnation and not per link, so that the first dispatch on
  /// a new link after a freeze is compared with earlier ones.
  DelayEstimate m_Delay;
  /// A shutdown waits until this time for the entry to reconnect and reconcile
  /// its dispatches; min() when there is nothing to wait for.
  TimePoint m_ReconcileDeadline = TimePoint::min();

  // Members that belong to the open link.

  std::optional<LinkId> m_Link;
  LinkNumber m_LinkNumber{};
  std::string m_EntryId;
  /// The entry's hello has arrived; other messages are accepted only then.
  bool m_HelloReceived = false;
  /// State that was last reported to the entry: the last hello, updated by each
  /// status sent after it.
  AgentHello m_LastReported;
  /// Number of the Ping sent after the endpoint changed its service or became
  /// smaller; empty when none is pending. Dispatches received before its Pong
  /// were sent for the earlier endpoint and are refused.
  std::optional<std::uint64_t> m_EndpointChangePing;
  TimePoint m_LastSent{};
  TimePoint m_LastReceived{};
};

} // namespace cyclamencroft
