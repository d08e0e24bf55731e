// A job that an entry owns until it is answered, and the record that is kept
// of it after that.
#pragma once

#include "entry/TimerQueue.h"
#include "jobs/JobEvents.h"
#include "jobs/JobOrder.h"
#include "jobs/Placement.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamencroft {

using JobIndex = std::uint32_t;

enum class TaskState : std::uint8_t { Waiting, InFlight, Done };

struct TaskRecord {
  TaskState m_State = TaskState::Waiting;
  std::uint32_t m_FailedRuns = 0;
  /// Number of the last run; the next one is higher.
  std::uint32_t m_LastRun = 0;
  std::optional<RunnerIndex> m_Avoid;
};

struct StepRecord {
  std::vector<TaskRecord> m_Tasks;
  std::uint32_t m_Done = 0;
  /// Tasks that wait for capacity.
  std::uint32_t m_Waiting = 0;
};

struct JobRecord {
  JobDeclaration m_Declaration;
  QueuePtr m_Queue;
  /// More than one when the caller sent the job again.
  std::vector<CallerId> m_Callers;
  JobTimes m_Times;
  JobOrderKey m_OrderKey;
  /// Listed in the queue of waiting jobs.
  bool m_Queued = false;
  std::vector<StepRecord> m_Steps;
  std::uint32_t m_StepsDone = 0;
  std::uint32_t m_RunsInFlight = 0;
  /// A run that has ended was started at its endpoint, or that can't be
  /// excluded.
  bool m_MayHaveRun = false;
  TimePoint m_FirstStart{};
  TimePoint m_LastStart{};
  /// Run time of the longest successful run.
  Duration m_LongestRun{};
  std::uint32_t m_Starts = 0;
  std::uint32_t m_Retries = 0;
  /// Starts that were refused because another entry's run took the capacity.
  std::uint32_t m_LostRaces = 0;
  TimerId m_Timer = NoTimer;

  /// False while it is certain that no task of the job has run or is running:
  /// starts that were refused don't count.
  bool hasBegun() const { return m_MayHaveRun || m_RunsInFlight > 0; }
};

/// Kept for a while after the answer, for callers that send the job again.
struct FinishedJob {
  JobId m_Job{};
  JobOutcome m_Outcome = JobOutcome::Completed;
  /// Highest run number used.
  std::uint32_t m_LastRun = 0;
  TimePoint m_FinishedAt{};
};

} // namespace cyclamencroft
