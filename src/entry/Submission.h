// Defines submissions, their tasks and the attempts to run these. A submission
// is a request or job that the entry keeps until it is answered; a request has
// one task.
#pragma once

#include "entry/EntryEvents.h"
#include "entry/Router.h"
#include "entry/TimerQueue.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamencroft {

using SubmissionIndex = std::uint32_t;
using AttemptIndex = std::uint32_t;
using AgentRowIndex = std::uint32_t;
using ServiceIndex = std::uint32_t;

enum class SubmissionKind : std::uint8_t { Request, Job };

struct Task {
  Payload m_Body;
  TaskAnswer m_Answer;
  /// Attempt in progress; NoIndex when there is none.
  AttemptIndex m_Attempt = NoIndex;
  /// Attempts that were not started: those refused because no slot was free,
  /// and those refused for another reason or fenced.
  std::uint16_t m_NoSlotRefusals = 0;
  std::uint16_t m_Refusals = 0;
};

/// Neighbours of a submission in one list; NoIndex at the ends.
struct ListLinks {
  SubmissionIndex m_Previous = NoIndex;
  SubmissionIndex m_Next = NoIndex;
};

/// Position of a waiting submission in the queue of its service.
struct QueuePosition {
  /// Lane of the queue; NoIndex while the submission does not wait.
  std::uint32_t m_Lane = NoIndex;
  /// Index of the team in the lane; for jobs.
  std::uint32_t m_Team = 0;
  /// Number of waiting tasks that m_BySize was last updated for; for jobs.
  std::uint32_t m_Waiting = 0;
  /// Links in the order of arrival.
  ListLinks m_Arrival;
  /// Links in the list of jobs with m_Waiting waiting tasks.
  ListLinks m_BySize;
};

struct Submission {
  SubmissionKind m_Kind = SubmissionKind::Request;
  CallerId m_Caller{};
  RequestId m_Request;
  ServiceIndex m_Service = 0;
  /// Tasks of jobs are scheduled by round robin between teams.
  std::string m_Team;
  bool m_NonIdempotent = false;
  /// True when an attempt ended in a way that does not exclude that it ran.
  bool m_MayHaveRun = false;
  /// False after the caller's connection has closed.
  bool m_CallerConnected = true;
  /// Hash of the caller's key; 0 for none.
  std::uint64_t m_Key = 0;
  Size m_Need;
  TimePoint m_ArrivedAt{};
  TimePoint m_Deadline{};
  TraceContext m_Trace;
  std::uint64_t m_SpanId = 0;
  std::vector<Task> m_Tasks;
  /// Indices of the tasks that wait for dispatch; the last one is next.
  std::vector<std::uint32_t> m_Waiting;
  std::uint32_t m_TasksDone = 0;
  std::uint32_t m_TasksOutstanding = 0;
  /// Second attempt of a request; NoIndex when there is none.
  AttemptIndex m_Hedge = NoIndex;
  /// Attempts of a request that may have run.
  std::uint8_t m_Attempts = 0;
  /// Agent that the next attempt avoids: the one of the last attempt that was
  /// refused, failed or is being hedged.
  std::optional<AgentIndex> m_AvoidedAgent;
  TimerId m_DeadlineTimer = NoTimer;
  TimerId m_HedgeTimer = NoTimer;
  QueuePosition m_Queue;

  bool isJob() const { return m_Kind == SubmissionKind::Job; }
};

/// One dispatch of one task to one agent.
struct Attempt {
  /// NoIndex after the submission was answered without this attempt.
  SubmissionIndex m_Submission = NoIndex;
  std::uint32_t m_Task = 0;
  RequestId m_Request;
  AgentRowIndex m_Agent = 0;
  Sequence m_Sequence = 0;
  /// Trace of the submission with the entry's span as parent.
  TraceContext m_Trace;
  std::uint64_t m_SpanId = 0;
  TimePoint m_Start{};
  /// True while the router counts the attempt as running at the agent.
  bool m_CountedAsRunning = false;
  TimerId m_OrphanTimer = NoTimer;
};

} // namespace cyclamencroft
