// Events and commands of the scheduler of an entry.
#pragma once

#include "core/Messages.h"
#include "entry/EntryEvents.h"
#include "jobs/QueueTable.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// A caller offers a job and waits for its end.
struct JobOffered {
  CallerId m_Caller{};
  JobDeclaration m_Job;
  QueuePtr m_Queue;
  /// How long the caller waits for the answer, from this event on.
  Duration m_CallerTimeout{};
};

/// A caller cancels a job, which it may have offered to another entry.
struct JobCancelled {
  CallerId m_Caller{};
  JobId m_Job{};
};

/// An agent has opened a link and sent its hello.
struct RunnerConnected {
  LinkId m_Link{};
  RunnerHello m_Hello;
};

/// The configuration that the entry has put into force.
struct ConfigInForce {
  ConfigVersion m_Version = 0;
  /// Offset of its record in the store.
  std::uint64_t m_Offset = 0;
  /// As the operators published it.
  std::string m_Document;
};

/// The evacuated failure domains, as read from the store.
struct EvacuationsRead {
  EvacuationView m_View;
};

using JobEvent =
    std::variant<JobOffered, JobCancelled, CallerDisconnected, RunnerConnected,
                 MessageReceived, LinkClosed, ConfigInForce, EvacuationsRead,
                 ShutdownRequested, Tick>;

/// Final outcome of a job at this entry.
enum class JobOutcome : std::uint8_t {
  Completed,
  /// A task has failed as often as its queue allows.
  Failed,
  /// No task of the job has run or will run.
  NotRun,
  /// Given up after tasks of the job may have run.
  GivenUp,
  /// By a caller's request. Final: a repeated offer gets this answer.
  Cancelled,
  /// All callers have disconnected; a repeated offer runs the job again.
  Abandoned,
  /// No such job; only in answers to cancellations.
  Unknown,
};

std::string_view toString(JobOutcome Outcome);

/// Whether a repeated offer of the job gets this outcome again.
bool isFinal(JobOutcome Outcome);

struct JobAnswer {
  CallerId m_Caller{};
  JobId m_Job{};
  JobOutcome m_Outcome = JobOutcome::Completed;
  std::string m_Reason;
  /// Delay after which the caller should retry; zero where that is of no use.
  Duration m_RetryAfter{};
};

/// A configuration newer than the one in force, from an agent's copy.
struct ConfigReceived {
  std::uint64_t m_Offset = 0;
  std::string m_Document;
};

using JobCommand = std::variant<JobAnswer, SendMessage, CloseLink,
                                ConfigReceived, LogDecision, Drained>;

} // namespace cyclamencroft
