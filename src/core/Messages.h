// Messages between the system's own processes. One frame on a link carries a
// list of them; src/link/ encodes them as CBOR.
#pragma once

#include "core/Ids.h"
#include "core/Outcome.h"
#include "core/Payload.h"
#include "core/Runs.h"
#include "core/RuntimeClock.h"
#include "core/TraceContext.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// Version of the link protocol; a peer of another version is refused.
constexpr std::uint32_t ProtocolVersion = 1;

/// Whether an agent takes new work.
enum class AgentState : std::uint8_t { Active = 0, Leaving = 1 };

/// First message of an agent on a link.
struct AgentHello {
  std::uint32_t m_Protocol = ProtocolVersion;
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  /// Grows each time the agent starts a new sequence window for this entry;
  /// an entry that sees a new id treats older dispatches as unknown.
  std::uint64_t m_WindowId = 0;
  /// Empty while no endpoint has been announced to the agent.
  std::string m_Service;
  std::string m_FailureDomain;
  std::string m_Rack;
  /// IP and port of the endpoint; two agents may not serve the same one.
  std::string m_EndpointAddress;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 0;
  Size m_Size;
  std::uint32_t m_Running = 0;
  AgentState m_State = AgentState::Active;
  ConfigVersion m_ConfigVersion = 0;
};

/// Answer to a hello, and first message between entries. Sent by the accepting
/// entry before any other message.
struct EntryHello {
  std::uint32_t m_Protocol = ProtocolVersion;
  std::string m_EntryId;
  Incarnation m_Incarnation{};
  ConfigVersion m_ConfigVersion = 0;
  /// Live entries known to the sender, itself included; an agent's slots are
  /// shared out over them.
  std::uint32_t m_Entries = 1;
  /// Sender's clock at sending: the first baseline for the delay of dispatches.
  TimePoint m_SentAt{};
};

/// Asks an agent to start one task.
struct Dispatch {
  Sequence m_Sequence = 0;
  /// Every sequence below this one is settled at the entry.
  Sequence m_Floor = 0;
  RequestId m_Request;
  std::uint32_t m_TaskIndex = 0;
  bool m_NonIdempotent = false;
  /// Sender's clock at sending; the agent compares it with earlier messages of
  /// the same link to see how long this one was under way.
  TimePoint m_SentAt{};
  /// Time left to the deadline when the message was sent.
  Duration m_TimeLeft{};
  TraceContext m_Trace;
  Payload m_Body;
};

/// A task has ended at the endpoint.
struct TaskResult {
  Sequence m_Sequence = 0;
  /// Completed, Failed or Unknown.
  Outcome m_Outcome = Outcome::Completed;
  std::uint16_t m_HttpStatus = 0;
  Duration m_RunTime{};
  /// Tasks running at the endpoint after this one, for all entries together.
  std::uint32_t m_Running = 0;
  Payload m_Body;
};

/// The task was not started and never will be.
struct TaskRefused {
  Sequence m_Sequence = 0;
  RefusalReason m_Reason = RefusalReason::None;
  std::uint32_t m_Running = 0;
};

/// Cancels every task of a request or job that the agent holds for the sender.
struct CancelTasks {
  RequestId m_Request;
};

/// Asks what became of dispatches after a link was lost.
struct Reconcile {
  std::vector<Sequence> m_Sequences;
};

/// State of one sequence at the agent.
enum class SequenceState : std::uint8_t {
  Running = 0,  ///< Started; a result will follow.
  Finished = 1, ///< Ended; its result is sent again after this reply.
  Fenced = 2,   ///< Never seen; marked so that it never starts.
  Unknown = 3,  ///< Below the window's floor; can't be told.
};

struct SequenceReport {
  Sequence m_Sequence = 0;
  SequenceState m_State = SequenceState::Unknown;
};

struct ReconcileReply {
  std::vector<SequenceReport> m_Reports;
};

/// Change of an agent's state, slots or load.
struct AgentStatus {
  AgentState m_State = AgentState::Active;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Running = 0;
};

/// The part of the configuration that an agent needs.
struct ConfigView {
  ConfigVersion m_Version = 0;
  std::string m_Preset;
  /// Tasks that may wait at the agent beyond its slots.
  std::uint32_t m_AgentQueue = 0;
  /// Failure domains whose endpoints take no new work.
  std::vector<std::string> m_DrainedFailureDomains;
};

/// Sent on an idle link, so that a dead peer is noticed.
struct Heartbeat {
  ConfigVersion m_ConfigVersion = 0;
};

/// Asks a silent peer whether it is alive.
struct Ping {
  std::uint64_t m_Number = 0;
};
struct Pong {
  std::uint64_t m_Number = 0;
};

/// A whole configuration, from entry to entry, or between an entry and an agent
/// that keeps a copy.
struct ConfigTransfer {
  ConfigVersion m_Version = 0;
  /// Log offset up to which this is the state.
  std::uint64_t m_Offset = 0;
  std::string m_Preset;
  std::string m_Document;
};

/// Demand of one team at the sending entry.
struct TeamDemand {
  std::string m_Team;
  std::uint32_t m_StartsPerSecond = 0;
};

struct QuotaReport {
  std::vector<TeamDemand> m_Demands;
};

/// The sender closes the link on purpose.
struct Goodbye {
  std::string m_Reason;
};

/// A run has ended or was not started.
struct TaskEnded {
  RunName m_Run;
  RunEnd m_End = RunEnd::NotStarted;
  StartRefusal m_Refusal = StartRefusal::None;
  /// From the endpoint's acceptance to its end.
  Duration m_RunTime{};
  EndpointLoad m_Load;
};

/// First message of an agent that runs leased tasks. Runs of the receiving
/// entry that it lists nowhere are not running and will not start.
struct RunnerHello {
  std::uint32_t m_Protocol = ProtocolVersion;
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  /// Entry process that the two lists are about; zero when the agent knows
  /// none at this address.
  Incarnation m_Entry{};
  std::vector<RunName> m_Held;
  /// Ends that may have been lost with an earlier link.
  std::vector<TaskEnded> m_Ended;
  EndpointView m_Endpoint;
  EndpointLoad m_Load;
};

/// Change of an agent's endpoint.
struct EndpointReport {
  EndpointView m_Endpoint;
  EndpointLoad m_Load;
};

/// Change of an endpoint's load; also the answer to an EntryLease.
struct LoadReport {
  EndpointLoad m_Load;
};

/// Asks an agent to start a run.
struct StartTask {
  RunName m_Run;
  Size m_Need;
  /// See EntryLease; a start is one as well.
  TimePoint m_SentAt{};
  /// The job is on time when the run starts within this time; negative when it
  /// is late already.
  Duration m_StartWithin{};
  /// Run time that the caller expects.
  Duration m_Estimate{};
  Payload m_Specification;
};

/// Stops every run of a job that the agent holds for the sender.
struct StopJob {
  JobId m_Job{};
};

/// Stops one run.
struct StopRun {
  RunName m_Run;
};

/// Extends the lease of the sender's runs at the agent, which ends them when
/// the lease runs out. Counted from the sending, so that a message that was
/// held up extends nothing.
struct EntryLease {
  TimePoint m_SentAt{};
};

/// Version of the configuration that the sending agent keeps a copy of.
struct ConfigHeld {
  ConfigVersion m_Version = 0;
};

/// Asks an agent for the copy of the configuration that it keeps; it answers
/// with a ConfigTransfer.
struct ConfigRequest {};

/// Order is the wire type number; append only.
using LinkMessage =
    std::variant<AgentHello, EntryHello, Dispatch, TaskResult, TaskRefused,
                 CancelTasks, Reconcile, ReconcileReply, AgentStatus,
                 ConfigView, Heartbeat, Ping, Pong, ConfigTransfer, QuotaReport,
                 Goodbye, RunnerHello, EndpointReport, LoadReport, StartTask,
                 TaskEnded, StopJob, StopRun, EntryLease, ConfigHeld,
                 ConfigRequest>;

} // namespace cyclamencroft
