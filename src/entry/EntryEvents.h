// Events that the decision core of an entry consumes, and commands that it
// emits.
#pragma once

#include "config/Configuration.h"
#include "core/Messages.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// A single request of a caller.
struct RequestArrived {
  CallerId m_Caller{};
  RequestId m_Request;
  std::string m_Service;
  /// Empty when the caller specifies no team.
  std::string m_Team;
  bool m_NonIdempotent = false;
  /// Idempotency key that the caller chose for a non-idempotent request; empty
  /// for none.
  std::string m_Key;
  /// Relative to the arrival; zero selects the service's default.
  Duration m_Deadline{};
  Size m_Need;
  TraceContext m_Trace;
  Payload m_Body;
};

/// A job of many tasks; each starts at most once.
struct JobSubmitted {
  CallerId m_Caller{};
  RequestId m_Request;
  std::string m_Service;
  std::string m_Team;
  Duration m_Deadline{};
  Size m_Need;
  TraceContext m_Trace;
  std::vector<Payload> m_Tasks;
};

/// The caller's connection closed before the answer was sent.
struct CallerDisconnected {
  CallerId m_Caller{};
};

/// A caller or operator cancels a request or job.
struct CancelRequested {
  RequestId m_Request;
};

/// An agent or peer entry opened a link and sent its hello.
struct AgentConnected {
  LinkId m_Link{};
  AgentHello m_Hello;
};
struct PeerConnected {
  LinkId m_Link{};
  EntryHello m_Hello;
};

/// A message after the hello.
struct MessageReceived {
  LinkId m_Link{};
  LinkMessage m_Message;
};

struct LinkClosed {
  LinkId m_Link{};
};

/// A configuration was accepted from the configuration stream or from a peer.
struct ConfigAdopted {
  ConfigStatePtr m_State;
};

struct ShutdownRequested {};

/// The time returned by nextWakeup() has been reached.
struct Tick {};

using EntryEvent =
    std::variant<RequestArrived, JobSubmitted, CallerDisconnected,
                 CancelRequested, AgentConnected, PeerConnected,
                 MessageReceived, LinkClosed, ConfigAdopted, ShutdownRequested,
                 Tick>;

/// Answer to a single request.
struct AnswerRequest {
  CallerId m_Caller{};
  RequestId m_Request;
  Outcome m_Outcome = Outcome::Completed;
  /// Set when m_Outcome is NotRun.
  RefusalReason m_Reason = RefusalReason::None;
  /// HTTP status from the endpoint; 0 when there is none.
  std::uint16_t m_HttpStatus = 0;
  /// Human-readable sentence; empty for completed requests.
  std::string m_Detail;
  Payload m_Body;
};

/// Answer of one task of a completed job.
struct TaskAnswer {
  std::uint16_t m_HttpStatus = 0;
  Payload m_Body;
};

/// Answer to a job. Invariant: m_Tasks holds every task's answer in order when
/// the outcome is Completed, and is empty otherwise.
struct AnswerJob {
  CallerId m_Caller{};
  RequestId m_Request;
  Outcome m_Outcome = Outcome::Completed;
  RefusalReason m_Reason = RefusalReason::None;
  std::string m_Detail;
  std::vector<TaskAnswer> m_Tasks;
};

struct SendMessage {
  LinkId m_Link{};
  LinkMessage m_Message;
};

struct CloseLink {
  LinkId m_Link{};
  std::string m_Reason;
};

/// One log line: an event name and key=value fields.
struct LogField {
  std::string_view m_Key;
  std::string m_Value;
};
struct LogDecision {
  std::string_view m_Event;
  std::vector<LogField> m_Fields;
};

/// A finished span for the trace: an attempt at an agent or the whole
/// submission.
struct SpanEnded {
  TraceContext m_Trace;
  std::uint64_t m_SpanId = 0;
  std::string_view m_Step;
  std::string m_Peer;
  TimePoint m_Start{};
  TimePoint m_End{};
  bool m_Failed = false;
};

/// All work in flight at the shutdown request has ended.
struct Drained {};

using EntryCommand = std::variant<AnswerRequest, AnswerJob, SendMessage,
                                  CloseLink, LogDecision, SpanEnded, Drained>;

} // namespace cyclamencroft
