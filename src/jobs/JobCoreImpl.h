// Implementation class of the scheduler of an entry. JobCore.cpp handles events
// and timers, JobAdmission.cpp new jobs, JobDispatch.cpp the start of tasks,
// JobRuns.cpp their ends, JobAnswers.cpp answers, JobRunners.cpp agents,
// JobReconcile.cpp their hellos, JobConfigCopies.cpp copies of the
// configuration at agents, JobEvacuation.cpp evacuated failure domains.
#pragma once

#include "jobs/JobCore.h"
#include "jobs/JobRecord.h"
#include "jobs/Placement.h"
#include "jobs/RepeatEstimate.h"
#include "jobs/WaitForecast.h"

#include <deque>
#include <initializer_list>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamencroft {

/// Whole milliseconds, as logged.
inline std::string milliseconds(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

/// Reason of a refusal while every endpoint that could hold a task is in an
/// evacuated failure domain.
constexpr const char *EvacuatedReason =
    "all endpoints that can hold a task are evacuated";

class JobCore::Impl {
public:
  explicit Impl(JobCoreOptions Options);

  void handle(TimePoint Now, const JobEvent &Event,
              std::vector<JobCommand> &Commands);
  TimePoint nextWakeup() const;
  JobCoreStatus status() const;
  std::optional<JobState> state(JobId Job) const;
  std::uint64_t waiting(std::string_view Queue) const;

private:
  // Events and timers.
  void onEvent(const JobOffered &Event);
  void onEvent(const JobCancelled &Event);
  void onEvent(const CallerDisconnected &Event);
  void onEvent(const RunnerConnected &Event);
  void onEvent(const MessageReceived &Event);
  void onEvent(const LinkClosed &Event);
  void onEvent(const ConfigInForce &Event);
  void onEvent(const EvacuationsRead &Event);
  void onEvent(const ShutdownRequested &Event);
  void onEvent(const Tick &Event);
  void detectSuspension();
  void finishEvent();
  void log(std::string_view Event, std::initializer_list<LogField> Fields);

  // Admission.
  bool joinKnownJob(const JobOffered &Event);
  struct Refusal {
    std::string m_Reason;
    Duration m_RetryAfter{};
  };
  std::optional<Refusal> refusalFor(const JobOffered &Event,
                                    const JobTimes &Times);
  /// Sum over jobs that wait for capacity.
  struct QueuedWork {
    std::uint64_t m_MilliCores = 0;
    WorkAmount m_Amount = 0;
  };
  QueuedWork workBefore(const JobOrderKey &OrderKey) const;
  Duration expectedWait(const JobOrderKey &OrderKey, std::string_view Service);
  /// Longest wait for capacity with which a new job is accepted.
  Duration longestWait(const JobOffered &Event, const JobTimes &Times) const;
  void accept(const JobOffered &Event, const JobTimes &Times);
  void refuse(const JobOffered &Event, const Refusal &Cause);

  // Dispatch.
  void enqueue(JobIndex Index);
  void dequeue(JobIndex Index);
  void dispatch();
  void expireWaits();
  /// When a waiting job is given up or, if it has begun, moved behind all
  /// others.
  static TimePoint waitExpiry(const JobRecord &Job);
  /// Earliest waitExpiry() of the jobs that are not late; max() for none.
  TimePoint nextWaitExpiry() const;
  /// False when a task of the job waits for capacity.
  bool placeTasks(JobIndex Index);
  bool placeStep(JobIndex Index, std::uint32_t StepNumber);
  bool isReady(const JobRecord &Job, std::uint32_t StepNumber) const;
  void startTask(JobIndex Index, const TaskName &Name, RunnerIndex To);
  void armTimer(JobIndex Index);
  /// Time after which the job can't end before its deadline.
  TimePoint latestUsefulStart(const JobRecord &Job) const;
  Duration shortestRemainingTime(const JobRecord &Job) const;

  // Ends of runs.
  void runEnded(RunnerIndex From, const TaskEnded &Ended);
  void taskDone(JobIndex Index, const TaskName &Name);
  void taskFailed(JobIndex Index, const TaskName &Name, RunnerIndex At);
  void requeueTask(JobIndex Index, const TaskName &Name);
  void endRunsAsLost(RunnerIndex Index, std::string_view Cause);

  // Answers.
  void answer(JobIndex Index, JobOutcome Outcome, std::string Reason);
  void giveUp(JobIndex Index, std::string Reason);
  void stopRuns(JobIndex Index);
  void recordFinished(const JobRecord &Job, JobOutcome Outcome);
  bool cancelFinished(const JobId &Id);
  /// Also forgets the jobs that have been kept long enough.
  void remember(const FinishedJob &Finished);
  void sendAnswer(CallerId Caller, JobId Job, JobOutcome Outcome,
                  std::string Reason, Duration RetryAfter);
  Duration retryAfter();

  // Agents.
  void onMessage(RunnerIndex Index, const EndpointReport &Report);
  void onMessage(RunnerIndex Index, const LoadReport &Report);
  void onMessage(RunnerIndex Index, const TaskEnded &Ended);
  void onMessage(RunnerIndex Index, const Goodbye &Message);
  void onMessage(RunnerIndex Index, const Ping &Message);
  /// Handles any message that run agents don't send to entries.
  template <class T> void onMessage(RunnerIndex Index, const T &) {
    dropRunner(Index, "message of a type that run agents don't send");
  }

  // Copies of the configuration.
  void onMessage(RunnerIndex Index, const ConfigHeld &Message);
  void onMessage(RunnerIndex Index, const ConfigTransfer &Message);
  void placeCopies();
  /// Connected agents that hold the version in force or a newer one, or were
  /// sent it.
  std::size_t countCopies() const;
  /// Next agent to send a copy to; nothing when no suitable one is reachable.
  std::optional<RunnerIndex> nextCopyTarget() const;
  void requestConfig();

  // Evacuated failure domains.
  void onMessage(RunnerIndex Index, const EvacuationReport &Message);
  void adoptEvacuations(const EvacuationView &View, std::string_view Source);
  void markEvacuated(RunnerRow &Row);
  /// Cores in use that other runs can use once these have ended.
  std::uint64_t reusableMilliCores() const;
  /// Refuses the waiting jobs with a task that only evacuated endpoints hold.
  void refuseUnplaceable();

  void sendHello(RunnerRow &Row);
  RunnerIndex rowOf(const RunnerHello &Hello);
  static bool comesFromGivenUpLink(const RunnerRow &Row,
                                   const RunnerHello &Hello);
  void rejectGivenUpLink(const RunnerConnected &Event, const RunnerRow &Row);
  bool comesFromOtherAddress(const RunnerRow &Row,
                             const RunnerHello &Hello) const;
  void rejectLink(LinkId Link, const RunnerRow &Row);
  void reconcile(RunnerIndex Index, const RunnerHello &Hello);
  void endMissingRuns(RunnerIndex Index, const std::vector<RunName> &Held);
  void repeatStops(RunnerIndex Index, const std::vector<RunName> &Held);
  void updateEndpoint(RunnerIndex Index, const EndpointView &Endpoint);
  void updateLoad(RunnerRow &Row, const EndpointLoad &Load);
  void markUnreachable(RunnerIndex Index, std::string_view Cause);
  void dropRunner(RunnerIndex Index, std::string Reason);
  void checkRunners();
  void checkRunner(RunnerIndex Index);
  void checkStalled(RunnerIndex Index);
  void assess(RunnerRow &Row);
  void stopStalled(RunnerIndex Index, const RunName &Name, OwnRun &Run);
  void extendLease(RunnerRow &Row);
  Duration reportInterval() const;
  void send(RunnerRow &Row, LinkMessage Message);

  JobCoreOptions m_Options;
  TimePoint m_Now{};
  std::vector<JobCommand> *m_Commands = nullptr;

  Slab<JobRecord> m_Jobs;
  std::unordered_map<JobId, JobIndex, JobIdHash> m_JobById;
  std::unordered_map<CallerId, JobIndex> m_JobByCaller;
  std::deque<FinishedJob> m_Finished;
  std::unordered_map<JobId, FinishedJob, JobIdHash> m_FinishedById;
  /// Jobs with waiting tasks.
  std::set<std::pair<JobOrderKey, JobIndex>> m_Waiting;
  std::uint64_t m_Arrivals = 0;
  /// Invariant: no later than nextWaitExpiry().
  TimePoint m_NextWaitExpiry = TimePoint::max();
  TimerQueue m_Timers;

  std::vector<RunnerRow> m_Rows;
  std::unordered_map<std::string, RunnerIndex> m_RowById;
  std::unordered_map<LinkId, RunnerIndex> m_RowByLink;
  TimePoint m_NextCheck{};

  /// The configuration in force; its version is 0 before the first one.
  ConfigInForce m_Config;
  /// No copy is sent before this time.
  TimePoint m_NextCopyAt{};
  RandomSource m_CopyDelays;
  /// When the first agent reported a copy; max() before that.
  TimePoint m_CopiesReportedSince = TimePoint::max();
  /// When an agent was sent a request for its copy; max() when none is pending.
  TimePoint m_ConfigRequestedAt = TimePoint::max();

  /// The newest view read from the store or received from an agent.
  EvacuationView m_Evacuations;

  Placement m_Placement;
  WaitForecast m_Forecast;
  RepeatEstimate m_Repeats;
  /// Invariant: sum over the runs of all rows.
  std::uint64_t m_MilliCoresInUse = 0;
  /// Capacity may have become free or work may have been added since the last
  /// dispatch().
  bool m_DispatchNeeded = false;
  /// Until this time, agents may still be connecting to an entry that has just
  /// started, and a job may wait for the first one.
  TimePoint m_DiscoveryEndsAt = TimePoint::max();
  /// No task is started before this time.
  TimePoint m_StartsResumeAt{};
  TimePoint m_LastEventAt = TimePoint::max();
  bool m_Draining = false;
  bool m_Drained = false;
  JobCoreStatus m_Counters;
};

} // namespace cyclamencroft
