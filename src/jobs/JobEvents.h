// What the scheduler of an entry consumes and produces.
#pragma once

#include "core/Messages.h"
#include "entry/EntryEvents.h"
#include "jobs/QueueTable.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// A caller waits for the end of a job.
struct JobOffered {
  CallerId m_Caller{};
  JobDeclaration m_Job;
  QueuePtr m_Queue;
  /// How long the caller waits from now on.
  Duration m_Patience{};
};

/// A caller cancels a job, which it may have handed in at another entry.
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

using JobEvent = std::variant<JobOffered, JobCancelled, CallerGone,
                              RunnerConnected, MessageReceived, LinkClosed,
                              ConfigInForce, ShutdownRequested, Tick>;

/// How the entry is done with a job.
enum class JobOutcome : std::uint8_t {
  Completed,
  /// A task has failed as often as its queue allows.
  Failed,
  /// No task of it has run or will.
  NotRun,
  /// Given up after tasks of it may have run.
  GivenUp,
  Cancelled,
  /// No such job; for cancellations.
  Unknown,
};

std::string_view toString(JobOutcome Outcome);

struct JobAnswer {
  CallerId m_Caller{};
  JobId m_Job{};
  JobOutcome m_Outcome = JobOutcome::Completed;
  std::string m_Reason;
  /// When the caller had better come back; zero where that is of no use.
  Duration m_RetryAfter{};
};

/// A newer configuration than the one in force, from an agent's copy.
struct ConfigReceived {
  std::uint64_t m_Offset = 0;
  std::string m_Document;
};

using JobCommand = std::variant<JobAnswer, SendMessage, CloseLink,
                                ConfigReceived, LogDecision, Drained>;

} // namespace cyclamencroft
