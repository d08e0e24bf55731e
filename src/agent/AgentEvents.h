// Events and commands of the agent's decision core.
#pragma once

#include "core/Messages.h"
#include "entry/EntryEvents.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// The endpoint announced itself or renewed its announcement.
struct EndpointAnnounced {
  std::string m_Service;
  std::string m_Address;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 0;
  Size m_Size;
};

/// The endpoint announced that it is draining.
struct EndpointDraining {};

/// A link to an entry was opened. \p m_Entry is the index of the entry's
/// address in the settings. The core sends its hello on the link.
struct EntryLinkOpened {
  std::uint32_t m_Entry = 0;
  LinkId m_Link{};
};

/// Identifies one started task inside the agent; never reused within an
/// incarnation.
enum class RunId : std::uint64_t {};

/// A started task has ended: the endpoint's response is complete, or can no
/// longer be obtained.
struct RunEnded {
  RunId m_Run{};
  /// Completed, Failed, Unknown (connection lost or timed out after the request
  /// was sent) or NotRun (no byte of the request was sent).
  Outcome m_Outcome = Outcome::Completed;
  std::uint16_t m_HttpStatus = 0;
  Payload m_Body;
};

using AgentEvent = std::variant<EndpointAnnounced, EndpointDraining,
                                EntryLinkOpened, MessageReceived, LinkClosed,
                                RunEnded, ShutdownRequested, Tick>;

/// Sends a task's request to the endpoint.
struct StartRun {
  RunId m_Run{};
  std::string m_EndpointAddress;
  RequestId m_Request;
  std::uint32_t m_TaskIndex = 0;
  TraceContext m_Trace;
  /// Time at which the request to the endpoint times out.
  TimePoint m_Deadline{};
  Payload m_Body;
};

/// Closes the endpoint connection of a run. RunEnded still follows.
struct AbortRun {
  RunId m_Run{};
};

using AgentCommand = std::variant<SendMessage, CloseLink, StartRun, AbortRun,
                                  LogDecision, SpanEnded, Drained>;

} // namespace cyclamencroft
