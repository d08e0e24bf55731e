// What the decision core of an agent consumes and produces.
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

/// The endpoint said that it is leaving.
struct EndpointLeaving {};

/// A link to an entry is open. \p m_Entry is the index of the entry's address
/// in the settings. The core answers with its hello.
struct EntryLinkOpened {
  std::uint32_t m_Entry = 0;
  LinkId m_Link{};
};

/// Names one started task inside the agent; never reused within its life.
enum class RunId : std::uint64_t {};

/// The endpoint's answer to a started task is whole, or can't become so.
struct RunEnded {
  RunId m_Run{};
  /// Completed, Failed, Unknown (connection lost or timed out after the request
  /// was sent) or NotRun (no byte of the request was sent).
  Outcome m_Outcome = Outcome::Completed;
  std::uint16_t m_HttpStatus = 0;
  Payload m_Body;
};

using AgentEvent = std::variant<EndpointAnnounced, EndpointLeaving,
                                EntryLinkOpened, MessageReceived, LinkClosed,
                                RunEnded, ShutdownRequested, Tick>;

/// Sends a task's request to the endpoint.
struct StartRun {
  RunId m_Run{};
  std::string m_EndpointAddress;
  RequestId m_Request;
  std::uint32_t m_TaskIndex = 0;
  TraceContext m_Trace;
  /// The request to the endpoint is given up at this time.
  TimePoint m_Deadline{};
  Payload m_Body;
};

/// Closes the endpoint connection of a run; RunEnded still follows.
struct AbortRun {
  RunId m_Run{};
};

using AgentCommand = std::variant<SendMessage, CloseLink, StartRun, AbortRun,
                                  LogDecision, SpanEnded, Drained>;

} // namespace cyclamencroft
