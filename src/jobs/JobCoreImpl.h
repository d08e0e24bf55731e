// State and steps of the scheduler of an entry. JobCore.cpp holds events and
// timers, JobAdmission.cpp new jobs, JobDispatch.cpp the start of tasks,
// JobRuns.cpp their ends, JobAnswers.cpp answers, JobRunners.cpp agents,
// JobConfigCopies.cpp what agents keep of the configuration.
#pragma once

#include "jobs/JobCore.h"
#include "jobs/JobRecord.h"
#include "jobs/Placement.h"
#include "jobs/WaitForecast.h"

#include <deque>
#include <initializer_list>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamencroft {

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
  void onEvent(const CallerGone &Event);
  void onEvent(const RunnerConnected &Event);
  void onEvent(const MessageReceived &Event);
  void onEvent(const LinkClosed &Event);
  void onEvent(const ConfigInForce &Event);
  void onEvent(const ShutdownRequested &Event);
  void onEvent(const Tick &Event);
  void noteSuspension();
  void finishTurn();
  void log(std::string_view Event, std::initializer_list<LogField> Fields);

  // Admission.
  bool joinKnownJob(const JobOffered &Event);
  struct Refusal {
    std::string m_Reason;
    Duration m_RetryAfter{};
  };
  std::optional<Refusal> refusalFor(const JobOffered &Event,
                                    const JobTimes &Times);
  /// Of jobs that wait for room.
  struct QueuedWork {
    std::uint64_t m_MilliCores = 0;
    WorkAmount m_Amount = 0;
  };
  QueuedWork workBefore(const JobPlace &Place) const;
  Duration expectedWait(const JobPlace &Place, std::string_view Service);
  void accept(const JobOffered &Event, const JobTimes &Times);
  void refuse(const JobOffered &Event, const Refusal &Why);

  // Dispatch.
  void enqueue(JobIndex Index);
  void dequeue(JobIndex Index);
  void dispatch();
  void passLatestStarts();
  /// When a job that waits is given up, or comes after all others if it has
  /// begun.
  static TimePoint endOfWait(const JobRecord &Job);
  /// Earliest end of a wait; max() for none.
  TimePoint nextLatestStart() const;
  /// False when a task of the job waits for room.
  bool placeTasks(JobIndex Index);
  bool placeStep(JobIndex Index, std::uint32_t StepNumber);
  bool isReady(const JobRecord &Job, std::uint32_t StepNumber) const;
  void startTask(JobIndex Index, const TaskName &Name, RunnerIndex To);
  void armTimer(JobIndex Index);
  /// Time after which the job can't end before its deadline.
  TimePoint lastHope(const JobRecord &Job) const;
  Duration shortestRest(const JobRecord &Job) const;

  // Ends of runs.
  void runEnded(RunnerIndex From, const TaskEnded &Ended);
  void taskDone(JobIndex Index, const TaskName &Name);
  void taskFailed(JobIndex Index, const TaskName &Name, RunnerIndex At);
  void taskWaits(JobIndex Index, const TaskName &Name);
  void settleRuns(RunnerIndex Index, std::string_view Why);

  // Answers.
  void answer(JobIndex Index, JobOutcome Outcome, std::string Reason);
  void giveUp(JobIndex Index, std::string Reason);
  void stopRuns(JobIndex Index);
  void remember(const JobRecord &Job, JobOutcome Outcome);
  void sendAnswer(CallerId Caller, JobId Job, JobOutcome Outcome,
                  std::string Reason, Duration RetryAfter);
  Duration retryAfter();

  // Agents.
  void onMessage(RunnerIndex Index, const EndpointReport &Report);
  void onMessage(RunnerIndex Index, const LoadReport &Report);
  void onMessage(RunnerIndex Index, const TaskEnded &Ended);
  void onMessage(RunnerIndex Index, const Goodbye &Message);
  /// Any message that run agents don't send to entries.
  template <class T> void onMessage(RunnerIndex Index, const T &) {
    dropRunner(Index, "message of a type that run agents don't send");
  }

  // Copies of the configuration.
  void onMessage(RunnerIndex Index, const ConfigHeld &Message);
  void onMessage(RunnerIndex Index, const ConfigTransfer &Message);
  void placeCopies();
  /// Agents that keep the version in force or were sent it.
  std::size_t countCopies() const;
  /// The next agent to be sent a copy; nothing when none is within reach.
  std::optional<RunnerIndex> nextKeeper() const;
  void requestConfig();

  RunnerIndex rowOf(const RunnerHello &Hello);
  void reconcile(RunnerIndex Index, const RunnerHello &Hello);
  void takeEndpoint(RunnerIndex Index, const EndpointView &Endpoint);
  void takeLoad(RunnerRow &Row, const EndpointLoad &Load);
  void runnerOutOfReach(RunnerIndex Index, std::string_view Why);
  void dropRunner(RunnerIndex Index, std::string Reason);
  void checkRunners();
  void checkRunner(RunnerIndex Index);
  void checkStalled(RunnerIndex Index);
  void judge(RunnerRow &Row);
  void stopStalled(RunnerIndex Index, const RunName &Name, OwnRun &Run);
  void extendLease(RunnerRow &Row);
  void send(RunnerRow &Row, LinkMessage Message);

  JobCoreOptions m_Options;
  TimePoint m_Now{};
  std::vector<JobCommand> *m_Commands = nullptr;

  Slab<JobRecord> m_Jobs;
  std::unordered_map<std::uint64_t, JobIndex> m_JobById;
  std::unordered_map<CallerId, JobIndex> m_JobByCaller;
  std::deque<FinishedJob> m_Finished;
  std::unordered_map<std::uint64_t, FinishedJob> m_FinishedById;
  /// Jobs with waiting tasks.
  std::set<std::pair<JobPlace, JobIndex>> m_Waiting;
  std::uint64_t m_Arrivals = 0;
  /// No later than the earliest end of a wait.
  TimePoint m_NextLatestStart = TimePoint::max();
  TimerQueue m_Timers;

  std::vector<RunnerRow> m_Rows;
  std::unordered_map<std::string, RunnerIndex> m_RowById;
  std::unordered_map<LinkId, RunnerIndex> m_RowByLink;
  TimePoint m_NextCheck{};

  /// In force; the version is 0 before the first one.
  ConfigInForce m_Config;
  /// No copy is sent before this time.
  TimePoint m_NextCopyAt{};
  RandomSource m_CopyDelays;
  /// An agent was asked for its copy; max() when no answer is awaited.
  TimePoint m_ConfigAskedAt = TimePoint::max();

  Placement m_Placement;
  WaitForecast m_Forecast;
  /// Invariant: sum over the runs of all rows.
  std::uint32_t m_MilliCoresInUse = 0;
  /// Room may have become free, or work has come.
  bool m_Dirty = false;
  /// Until then agents may be on their way to an entry that has just started,
  /// and a job may wait for the first one.
  TimePoint m_EndpointsKnownBy = TimePoint::max();
  /// No task is started before this time.
  TimePoint m_StartsAgainAt{};
  TimePoint m_LastTurnAt = TimePoint::max();
  bool m_Draining = false;
  bool m_Drained = false;
  JobCoreStatus m_Counters;
};

} // namespace cyclamencroft
