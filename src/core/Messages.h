// Messages between the system's own processes. One frame on a link carries a
// list of them; src/link/ encodes them as CBOR.
#pragma once

#include "core/EvacuationView.h"
#include "core/Ids.h"
#include "core/LinkNumber.h"
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

/// Version of the link protocol; a peer with another version is rejected.
constexpr std::uint32_t ProtocolVersion = 5;

/// Whether an agent accepts new work.
enum class AgentState : std::uint8_t { Active = 0, Draining = 1 };

/// First message of an agent on a link.
struct AgentHello {
  std::uint32_t m_Protocol = ProtocolVersion;
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  /// Of the link that carries this hello.
  LinkNumber m_Link{};
  /// Increases whenever the agent starts a new sequence window for this entry;
  /// an entry that receives a new id treats older dispatches as unknown.
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
  /// Number of live entries known to the sender, including itself; an agent's
  /// slots are divided among them.
  std::uint32_t m_Entries = 1;
  /// Sender's clock when the message was sent; first baseline for the delay of
  /// dispatches.
  TimePoint m_SentAt{};
};

/// Request to an agent to start one task.
struct Dispatch {
  Sequence m_Sequence = 0;
  /// The state of every sequence below this one is final at the entry.
  Sequence m_Floor = 0;
  RequestId m_Request;
  std::uint32_t m_TaskIndex = 0;
  bool m_NonIdempotent = false;
  /// Sender's clock when the message was sent; the agent compares it with
  /// earlier messages on the same link to estimate how long this one was in
  /// transit.
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
  /// Tasks of all entries that still run at the endpoint after this one.
  std::uint32_t m_Running = 0;
  Payload m_Body;
};

/// The task was not started and will never be started.
struct TaskRefused {
  Sequence m_Sequence = 0;
  RefusalReason m_Reason = RefusalReason::None;
  std::uint32_t m_Running = 0;
};

/// Cancels the sender's tasks of a request or job at the agent.
struct CancelTasks {
  RequestId m_Request;
};

/// Requests the state of dispatches after a link was lost.
struct Reconcile {
  std::vector<Sequence> m_Sequences;
};

/// State of one sequence at the agent.
enum class SequenceState : std::uint8_t {
  Running = 0,  ///< Started; a result will follow.
  Finished = 1, ///< Ended; its result is sent again after this reply.
  Fenced = 2,   ///< Never received; marked so that it never starts.
  Unknown = 3,  ///< Below the window's floor; can't be determined.
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
  /// Maximum number of tasks that wait at the agent when its slots are busy.
  std::uint32_t m_AgentQueue = 0;
  /// Failure domains whose endpoints accept no new work.
  std::vector<std::string> m_DrainedFailureDomains;
};

/// Sent on an idle link, so that a failed peer is detected.
struct Heartbeat {
  ConfigVersion m_ConfigVersion = 0;
};

/// Checks whether a peer from which nothing was received is alive.
struct Ping {
  std::uint64_t m_Number = 0;
};
struct Pong {
  std::uint64_t m_Number = 0;
};

/// A complete configuration, sent between entries, or between an entry and an
/// agent that keeps a copy.
struct ConfigTransfer {
  ConfigVersion m_Version = 0;
  /// Log offset up to which the configuration includes all records.
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

/// The sender closes the link deliberately.
struct Goodbye {
  std::string m_Reason;
};

/// A run has ended or was not started.
struct TaskEnded {
  RunName m_Run;
  RunEnd m_End = RunEnd::NotStarted;
  StartRefusal m_Refusal = StartRefusal::None;
  /// Time from the endpoint's acceptance of the run to the end of the run.
  Duration m_RunTime{};
  EndpointLoad m_Load;
};

/// First message of an agent that runs leased tasks. Runs of the receiving
/// entry that are in neither list are not running and will not start.
struct RunnerHello {
  std::uint32_t m_Protocol = ProtocolVersion;
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  /// Of the link that carries this hello.
  LinkNumber m_Link{};
  /// Entry process to which the runs in both lists belong; zero when the agent
  /// knows none at this address.
  Incarnation m_Entry{};
  std::vector<RunName> m_Held;
  /// Ended runs whose reports may have been lost with an earlier link.
  std::vector<TaskEnded> m_Ended;
  EndpointView m_Endpoint;
  EndpointLoad m_Load;
};

/// Reports a change of the agent's endpoint.
struct EndpointReport {
  EndpointView m_Endpoint;
  EndpointLoad m_Load;
};

/// Reports a change of the endpoint's load; also the reply to an EntryLease.
struct LoadReport {
  EndpointLoad m_Load;
};

/// Request to an agent to start a run.
struct StartTask {
  RunName m_Run;
  /// Of the endpoint that the entry has chosen; no other one may execute the
  /// run.
  EndpointGeneration m_Generation{};
  Size m_Need;
  /// As in EntryLease; a start extends the lease as well.
  TimePoint m_SentAt{};
  /// Time within which the run must start for the job to be on time; negative
  /// when the job is already late.
  Duration m_StartWithin{};
  /// Run time that the caller has estimated.
  Duration m_Estimate{};
  Payload m_Specification;
};

/// Stops the sender's runs of a job at the agent.
struct StopJob {
  JobId m_Job{};
};

/// Stops one run.
struct StopRun {
  RunName m_Run;
};

/// Extends the lease of the sender's runs at the agent, which stops them when
/// the lease expires. The lease starts at the time of sending, so that a
/// delayed message doesn't extend it.
struct EntryLease {
  TimePoint m_SentAt{};
  /// Shortest time between two load reports that the sender wants; it grows
  /// with the number of agents, so that their reports don't overload an entry.
  Duration m_ReportInterval{};
};

/// Version of the configuration of which the sending agent keeps a copy.
struct ConfigHeld {
  ConfigVersion m_Version = 0;
};

/// Requests the copy of the configuration that an agent keeps; the agent
/// replies with a ConfigTransfer.
struct ConfigRequest {};

/// Failure domains that are evacuated, as the sender knows them. Sent by an
/// entry after its EntryHello and with each change, and by an agent to an entry
/// that knows less.
struct EvacuationReport {
  EvacuationView m_View;
};

/// The index in this list is the type number on the wire; append only.
using LinkMessage =
    std::variant<AgentHello, EntryHello, Dispatch, TaskResult, TaskRefused,
                 CancelTasks, Reconcile, ReconcileReply, AgentStatus,
                 ConfigView, Heartbeat, Ping, Pong, ConfigTransfer, QuotaReport,
                 Goodbye, RunnerHello, EndpointReport, LoadReport, StartTask,
                 TaskEnded, StopJob, StopRun, EntryLease, ConfigHeld,
                 ConfigRequest, EvacuationReport>;

} // namespace cyclamencroft
