// Late binding: a task is sent to an agent only when its endpoint has capacity
// by the latest reports. Jobs are served in the order of JobOrderKey.
#include "jobs/JobCoreImpl.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Jobs that may find no capacity before dispatch() stops. Later ones may need
/// less capacity, but trying all of them would cost more than it gains.
constexpr int MaxBlockedJobs = 6;

/// A run may end after this share of its estimate, so a job that has begun is
/// given up only when less time is left. A job of which nothing runs needs the
/// whole estimate: refused now, it costs nothing and its caller can act.
constexpr double ShortestRunShare = 0.4;

/// An answer is sent this long before the caller stops waiting for it.
constexpr Duration AnswerMargin = std::chrono::milliseconds(20);

} // namespace

void JobCore::Impl::enqueue(JobIndex Index) {
  JobRecord &Job = m_Jobs[Index];
  if (!Job.m_Queued)
    m_Waiting.emplace(Job.m_OrderKey, Index);
  Job.m_Queued = true;
  if (!Job.m_OrderKey.m_Late)
    m_NextWaitExpiry = std::min(m_NextWaitExpiry, waitExpiry(Job));
  m_DispatchNeeded = true;
}

void JobCore::Impl::dequeue(JobIndex Index) {
  JobRecord &Job = m_Jobs[Index];
  if (Job.m_Queued)
    m_Waiting.erase({Job.m_OrderKey, Index});
  Job.m_Queued = false;
}

void JobCore::Impl::dispatch() {
  expireWaits();
  int Blocked = 0;
  for (auto Next = m_Waiting.begin();
       Next != m_Waiting.end() && Blocked < MaxBlockedJobs;) {
    const JobIndex Index = (Next++)->second;
    if (placeTasks(Index))
      dequeue(Index);
    else
      ++Blocked;
  }
}

/// Ends the wait of jobs that may no longer be on time: their callers are
/// answered at once, and the capacity goes to jobs that can still be on time.
/// The work of a job that has begun is lost unless all of it is done, so such a
/// job keeps its position until its objective has passed, and then comes after
/// all others.
void JobCore::Impl::expireWaits() {
  if (m_Now < m_NextWaitExpiry)
    return;
  for (auto Next = m_Waiting.begin(); Next != m_Waiting.end();) {
    const auto [OrderKey, Index] = *Next++;
    JobRecord &Job = m_Jobs[Index];
    if (OrderKey.m_Late)
      break;
    if (m_Now < waitExpiry(Job))
      continue;
    if (!Job.hasBegun()) {
      giveUp(Index, "the job would start too late to meet its objective");
      continue;
    }
    dequeue(Index);
    Job.m_OrderKey.m_Late = true;
    enqueue(Index);
  }
  m_NextWaitExpiry = nextWaitExpiry();
}

TimePoint JobCore::Impl::waitExpiry(const JobRecord &Job) {
  return Job.hasBegun() ? std::max(Job.m_Times.m_LatestStart + Duration(1),
                                   Job.m_Times.m_Objective)
                        : Job.m_Times.m_LatestStart + Duration(1);
}

TimePoint JobCore::Impl::nextWaitExpiry() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[OrderKey, Index] : m_Waiting) {
    if (OrderKey.m_Late)
      break;
    Next = std::min(Next, waitExpiry(m_Jobs[Index]));
  }
  return Next;
}

bool JobCore::Impl::placeTasks(JobIndex Index) {
  const std::size_t Steps = m_Jobs[Index].m_Steps.size();
  bool Placed = true;
  for (std::uint32_t Number = 0; Number < Steps; ++Number) {
    const JobRecord &Job = m_Jobs[Index];
    if (Job.m_Steps[Number].m_Waiting > 0 && isReady(Job, Number))
      Placed = placeStep(Index, Number) && Placed;
  }
  return Placed;
}

bool JobCore::Impl::isReady(const JobRecord &Job,
                            std::uint32_t StepNumber) const {
  const auto &Dependencies =
      Job.m_Declaration.m_Steps[StepNumber].m_Dependencies;
  return std::all_of(Dependencies.begin(), Dependencies.end(),
                     [&](std::uint32_t Earlier) {
                       const StepRecord &Step = Job.m_Steps[Earlier];
                       return Step.m_Done == Step.m_Tasks.size();
                     });
}

bool JobCore::Impl::placeStep(JobIndex Index, std::uint32_t StepNumber) {
  JobRecord &Job = m_Jobs[Index];
  StepRecord &Step = Job.m_Steps[StepNumber];
  PlacementQuery Query;
  Query.m_Service = Job.m_Queue->m_Policy.m_Service;
  Query.m_Step = &Job.m_Declaration.m_Steps[StepNumber];
  Query.m_Job = Job.m_Declaration.m_Id;
  Query.m_StepNumber = StepNumber;
  if (!Job.m_OrderKey.m_Late)
    Query.m_ObjectiveAt = Job.m_Times.m_Objective;
  for (std::uint32_t Number = 0; Number < Step.m_Tasks.size(); ++Number) {
    const TaskRecord &Task = Step.m_Tasks[Number];
    if (Task.m_State != TaskState::Waiting)
      continue;
    Query.m_Avoid = Task.m_Avoid;
    const auto To = m_Placement.choose(m_Rows, Query, m_Now);
    if (!To)
      return false;
    startTask(Index, {Query.m_Job, StepNumber, Number}, *To);
  }
  return true;
}

void JobCore::Impl::startTask(JobIndex Index, const TaskName &Name,
                              RunnerIndex To) {
  JobRecord &Job = m_Jobs[Index];
  RunnerRow &Row = m_Rows[To];
  StepRecord &Step = Job.m_Steps[Name.m_Step];
  TaskRecord &Task = Step.m_Tasks[Name.m_Index];
  const StepDeclaration &Declared = Job.m_Declaration.m_Steps[Name.m_Step];
  const RunName Run{Name, ++Task.m_LastRun};
  Task.m_State = TaskState::InFlight;
  --Step.m_Waiting;
  ++Job.m_RunsInFlight;
  if (Job.m_Starts++ == 0)
    Job.m_FirstStart = m_Now;
  Job.m_LastStart = m_Now;
  ++m_Counters.m_Starts;
  Row.m_Runs.emplace(
      Run, OwnRun{Index, Declared.m_Need, Declared.m_Estimate, m_Now});
  m_MilliCoresInUse += Declared.m_Need.m_MilliCores;
  Row.m_UnacknowledgedStarts.push_back(
      {++Row.m_StartsSent, Declared.m_Need, m_Now});
  Row.m_LeaseSentAt = m_Now;
  Row.m_AnswerAwaitedSince = std::min(Row.m_AnswerAwaitedSince, m_Now);
  m_Forecast.recordStart(
      m_Now, WorkAmount(Declared.m_Need.m_MilliCores) *
                 static_cast<WorkAmount>(Declared.m_Estimate.count()));
  const Duration StartWithin =
      Job.m_OrderKey.m_Late ? Duration(-1) : Job.m_Times.m_LatestStart - m_Now;
  send(Row, StartTask{Run, Row.m_Endpoint.m_Generation, Declared.m_Need, m_Now,
                      StartWithin, Declared.m_Estimate,
                      Job.m_Declaration.m_Specification});
}

void JobCore::Impl::armTimer(JobIndex Index) {
  JobRecord &Job = m_Jobs[Index];
  m_Timers.cancel(Job.m_Timer);
  Job.m_Timer =
      m_Timers.add(latestUsefulStart(Job), TimerKind::Deadline, Index);
}

TimePoint JobCore::Impl::latestUsefulStart(const JobRecord &Job) const {
  // A late answer is useful as long as its caller waits, and late jobs get only
  // the capacity that other jobs leave.
  return Job.m_Times.m_Deadline - AnswerMargin - shortestRemainingTime(Job);
}

Duration JobCore::Impl::shortestRemainingTime(const JobRecord &Job) const {
  Duration Rest{};
  for (std::size_t Number = 0; Number < Job.m_Steps.size(); ++Number)
    if (Job.m_Steps[Number].m_Waiting > 0)
      Rest = std::max(Rest, Job.m_Declaration.m_Steps[Number].m_Estimate);
  if (!Job.hasBegun())
    return Rest;
  return Duration(static_cast<Duration::rep>(static_cast<double>(Rest.count()) *
                                             ShortestRunShare));
}

} // namespace cyclamencroft
