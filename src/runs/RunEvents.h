// What the decision core of a run agent consumes and produces.
#pragma once

#include "core/Messages.h"
#include "entry/EntryEvents.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// Time of an endpoint's own clock, in milliseconds since its start.
using EndpointMs = std::int64_t;

/// One life of an endpoint: a restarted one keeps its id and knows nothing of
/// before.
struct EndpointLife {
  std::string m_Id;
  /// Unix milliseconds of its start.
  std::uint64_t m_BornAtMs = 0;

  friend bool operator==(const EndpointLife &A, const EndpointLife &B) {
    return A.m_BornAtMs == B.m_BornAtMs && A.m_Id == B.m_Id;
  }
  friend bool operator!=(const EndpointLife &A, const EndpointLife &B) {
    return !(A == B);
  }
};

/// The endpoint announced or renewed itself.
struct EndpointHeartbeat {
  EndpointLife m_Life;
  /// Grows with each heartbeat of one life.
  std::uint64_t m_Sequence = 0;
  std::string m_Address;
  EndpointMs m_Clock = 0;
  /// m_State is Active or Leaving.
  EndpointView m_View;
};

/// The endpoint said goodbye.
struct EndpointGone {
  std::string m_Id;
};

/// What became of a call to the endpoint.
enum class CallFault : std::uint8_t {
  None,
  Refused,   ///< No process listens at the address.
  NoAnswer,  ///< It may have been carried out, or may be later.
  OtherLife, ///< Another life of the endpoint answered and did nothing.
  Unhealthy, ///< The endpoint did nothing.
  Invalid,   ///< The endpoint can't read the call, or its answer is malformed.
};

enum class StartVerdict : std::uint8_t {
  Started,    ///< Now or before.
  Fenced,     ///< A higher token has been used.
  Superseded, ///< A run of this task that is as new was stopped or has ended.
  Late,       ///< The lease in the order had run out.
  NoRoom,
};

struct StartAnswered {
  RunName m_Run;
  CallFault m_Fault = CallFault::None;
  StartVerdict m_Verdict = StartVerdict::Started;
  std::optional<EndpointMs> m_Clock;
};

struct StopAnswered {
  RunName m_Run;
  CallFault m_Fault = CallFault::None;
  bool m_Fenced = false;
  std::optional<EndpointMs> m_Clock;
};

/// One entry of the endpoint's list of ended runs.
struct EndedRun {
  /// Position in the list of this life; grows.
  std::uint64_t m_Number = 0;
  RunName m_Run;
  RunEnd m_End = RunEnd::Done;
};

struct HoldAnswered {
  std::uint64_t m_Call = 0;
  CallFault m_Fault = CallFault::None;
  bool m_Fenced = false;
  std::uint64_t m_BornAtMs = 0;
  std::optional<EndpointMs> m_Clock;
  std::vector<RunName> m_Running;
  std::vector<EndedRun> m_Ended;
};

/// A link to an entry is open; the core answers with its hello.
struct RunnerLinkOpened {
  LinkId m_Link{};
  std::string m_Address;
};

using RunnerEvent =
    std::variant<EndpointHeartbeat, EndpointGone, StartAnswered, StopAnswered,
                 HoldAnswered, RunnerLinkOpened, MessageReceived, LinkClosed,
                 ShutdownRequested, Tick>;

/// Where and to whom a call goes, and on whose authority.
struct EndpointCall {
  std::string m_Address;
  std::string m_EndpointId;
  /// The endpoint ignores calls with a lower token than it has seen.
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

/// Asks for both lists, acknowledges ends and extends the lease of all runs.
struct CallHold {
  EndpointCall m_Call;
  std::uint64_t m_Number = 0;
  std::uint64_t m_AcknowledgedEnds = 0;
  std::optional<EndpointMs> m_LeaseEnd;
  /// The endpoint answers at the next end of a run, or after this time.
  Duration m_Wait{};
  /// The call has got no answer after this time.
  Duration m_Timeout{};
};

using RunnerCommand = std::variant<SendMessage, CloseLink, CallStart, CallStop,
                                   CallHold, LogDecision, Drained>;

} // namespace cyclamencroft
