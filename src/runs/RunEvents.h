// Events and commands of the decision core of a run agent.
#pragma once

#include "core/Messages.h"
#include "entry/EntryEvents.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// Time in an endpoint's own clock, in milliseconds since the endpoint started.
using EndpointMs = std::int64_t;

/// Identifies one process of an endpoint. A restarted endpoint keeps its id,
/// but has lost all runs and leases of the earlier process.
struct EndpointIncarnation {
  std::string m_Id;
  /// Unix milliseconds of its start.
  std::uint64_t m_StartedAtMs = 0;

  friend bool operator==(const EndpointIncarnation &A,
                         const EndpointIncarnation &B) {
    return A.m_StartedAtMs == B.m_StartedAtMs && A.m_Id == B.m_Id;
  }
  friend bool operator!=(const EndpointIncarnation &A,
                         const EndpointIncarnation &B) {
    return !(A == B);
  }
};

/// The endpoint announced itself or renewed its announcement.
struct EndpointHeartbeat {
  EndpointIncarnation m_EndpointIncarnation;
  /// Increases with each heartbeat of one incarnation.
  std::uint64_t m_Sequence = 0;
  std::string m_Address;
  EndpointMs m_Clock = 0;
  /// m_State is Active or Draining.
  EndpointView m_View;
};

/// The endpoint announced its shutdown.
struct EndpointGoodbye {
  std::string m_Id;
};

/// Result of a call to the endpoint.
enum class CallFault : std::uint8_t {
  None,
  Refused,          ///< No process listens at the address.
  NotSent,          ///< Nothing was sent; no effect.
  NoAnswer,         ///< The call may have taken effect, or may still do so.
  OtherIncarnation, ///< Another incarnation answered; no effect.
  Unhealthy,        ///< The endpoint reported a failure; no effect.
  Invalid,          ///< The call or its answer is malformed.
};

enum class StartResult : std::uint8_t {
  Started,    ///< By this call or an earlier one.
  Fenced,     ///< The endpoint has seen a higher fencing token.
  Superseded, ///< A run of this task that is as new was stopped or has ended.
  Late,       ///< The lease in the call had already expired.
  NoCapacity,
};

struct StartAnswered {
  RunName m_Run;
  CallFault m_Fault = CallFault::None;
  StartResult m_Result = StartResult::Started;
  std::optional<EndpointMs> m_Clock;
  /// The call was sent twice. The result is that of the second one; the first
  /// one may have taken effect before it, or may do so later.
  bool m_Resent = false;
};

struct StopAnswered {
  RunName m_Run;
  CallFault m_Fault = CallFault::None;
  bool m_Fenced = false;
  std::optional<EndpointMs> m_Clock;
};

/// One element of the endpoint's list of ended runs.
struct EndedRun {
  /// Position in the list of the present incarnation; increases.
  std::uint64_t m_Number = 0;
  RunName m_Run;
  RunEnd m_End = RunEnd::Done;
};

struct HoldAnswered {
  std::uint64_t m_Call = 0;
  CallFault m_Fault = CallFault::None;
  bool m_Fenced = false;
  std::uint64_t m_StartedAtMs = 0;
  std::optional<EndpointMs> m_Clock;
  std::vector<RunName> m_Running;
  std::vector<EndedRun> m_Ended;
};

struct ProbeAnswered {
  std::uint64_t m_Call = 0;
  CallFault m_Fault = CallFault::None;
  bool m_Fenced = false;
  std::uint64_t m_StartedAtMs = 0;
};

/// A connection to an entry is open; the core answers with a RunnerHello.
struct RunnerLinkOpened {
  LinkId m_Link{};
  std::string m_Address;
};

using RunnerEvent =
    std::variant<EndpointHeartbeat, EndpointGoodbye, StartAnswered,
                 StopAnswered, HoldAnswered, ProbeAnswered, RunnerLinkOpened,
                 MessageReceived, LinkClosed, ShutdownRequested, Tick>;

/// Address and recipient of a call, and the fencing token that authorises it.
/// Invariant: calls that start or stop runs take effect at this incarnation or
/// nowhere, even when another process with the same id has taken its address.
/// A hold may reach another process; its answer tells which one.
struct EndpointCall {
  std::string m_Address;
  EndpointIncarnation m_Endpoint;
  /// The endpoint rejects calls whose token is lower than one it has seen.
  std::uint64_t m_FencingToken = 0;
};

struct CallStart {
  EndpointCall m_Call;
  RunName m_Run;
  Payload m_Specification;
  EndpointMs m_LeaseEnd = 0;
};

struct CallStop {
  EndpointCall m_Call;
  RunName m_Run;
};

/// Requests the lists of running and ended runs, acknowledges ended runs and
/// extends the lease of all runs.
struct CallHold {
  EndpointCall m_Call;
  std::uint64_t m_Number = 0;
  /// Number of the last ended run that the agent has processed.
  std::uint64_t m_AcknowledgedEnds = 0;
  /// Nullopt leaves the lease as it is.
  std::optional<EndpointMs> m_LeaseEnd;
  /// The endpoint answers when the next run ends, or after this time (long
  /// poll).
  Duration m_Wait{};
  /// The call fails with CallFault::NoAnswer after this time.
  Duration m_Timeout{};
};

/// Asks which process answers at an announced address; has no other effect.
struct CallProbe {
  EndpointCall m_Call;
  std::uint64_t m_Number = 0;
  /// The call fails with CallFault::NoAnswer after this time.
  Duration m_Timeout{};
};

using RunnerCommand = std::variant<SendMessage, CloseLink, CallStart, CallStop,
                                   CallHold, CallProbe, LogDecision, Drained>;

} // namespace cyclamencroft
