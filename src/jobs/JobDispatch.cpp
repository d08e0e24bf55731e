// Late binding: a task goes to an agent only when its endpoint is believed to
// have room, in the order of JobPlace.
#include "jobs/JobCoreImpl.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Jobs that may find no room before a turn ends. Later ones may need less
/// room, but looking at all of them would cost more than it finds.
constexpr int MostBlockedJobs = 6;

/// A run may end after this share of its estimate, so a job is given up when
/// less time is left.
constexpr double ShortestShare = 0.4;

/// An answer leaves this much before the caller stops waiting for it.
constexpr Duration AnswerMargin = std::chrono::milliseconds(20);

} // namespace

void JobCore::Impl::enqueue(JobIndex Index) {
  JobRecord &Job = m_Jobs[Index];
  if (!Job.m_Queued)
    m_Waiting.emplace(Job.m_Place, Index);
  Job.m_Queued = true;
  if (!Job.m_Place.m_Late)
    m_NextLatestStart = std::min(m_NextLatestStart, endOfWait(Job));
  m_Dirty = true;
}

void JobCore::Impl::dequeue(JobIndex Index) {
  JobRecord &Job = m_Jobs[Index];
  if (Job.m_Queued)
    m_Waiting.erase({Job.m_Place, Index});
  Job.m_Queued = false;
}

void JobCore::Impl::dispatch() {
  passLatestStarts();
  int Blocked = 0;
  for (auto Next = m_Waiting.begin();
       Next != m_Waiting.end() && Blocked < MostBlockedJobs;) {
    const JobIndex Index = (Next++)->second;
    if (placeTasks(Index))
      dequeue(Index);
    else
      ++Blocked;
  }
}

/// Ends the wait of jobs that may no longer be on time: their callers hear at
/// once, and the room goes to jobs that are served in time. The work of a job
/// that has begun is lost unless all of it is done, so such a job keeps its
/// place until its objective has passed, and then comes after all others.
void JobCore::Impl::passLatestStarts() {
  if (m_Now < m_NextLatestStart)
    return;
  for (auto Next = m_Waiting.begin(); Next != m_Waiting.end();) {
    const auto [Place, Index] = *Next++;
    JobRecord &Job = m_Jobs[Index];
    if (Place.m_Late)
      break;
    if (m_Now < endOfWait(Job))
      continue;
    if (!Job.hasBegun()) {
      giveUp(Index, "it would start too late");
      continue;
    }
    dequeue(Index);
    Job.m_Place.m_Late = true;
    enqueue(Index);
  }
  m_NextLatestStart = nextLatestStart();
}

TimePoint JobCore::Impl::endOfWait(const JobRecord &Job) {
  return Job.hasBegun() ? std::max(Job.m_Times.m_LatestStart + Duration(1),
                                   Job.m_Times.m_Objective)
                        : Job.m_Times.m_LatestStart + Duration(1);
}

TimePoint JobCore::Impl::nextLatestStart() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Place, Index] : m_Waiting) {
    if (Place.m_Late)
      break;
    Next = std::min(Next, endOfWait(m_Jobs[Index]));
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
  const auto &After = Job.m_Declaration.m_Steps[StepNumber].m_After;
  return std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
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
  Task.m_State = TaskState::Out;
  --Step.m_Waiting;
  ++Job.m_RunsOut;
  if (Job.m_Starts++ == 0)
    Job.m_FirstStart = m_Now;
  Job.m_LastStart = m_Now;
  ++m_Counters.m_Starts;
  Row.m_Runs.emplace(
      Run, OwnRun{Index, Declared.m_Need, Declared.m_Estimate, m_Now});
  m_MilliCoresInUse += Declared.m_Need.m_MilliCores;
  Row.m_Unseen.push_back({++Row.m_StartsSent, Declared.m_Need, m_Now});
  Row.m_LeaseSentAt = m_Now;
  Row.m_AskedAt = std::min(Row.m_AskedAt, m_Now);
  m_Forecast.started(m_Now, WorkAmount(Declared.m_Need.m_MilliCores) *
                                Declared.m_Estimate.count());
  const Duration StartWithin =
      Job.m_Place.m_Late ? Duration(-1) : Job.m_Times.m_LatestStart - m_Now;
  send(Row, StartTask{Run, Declared.m_Need, m_Now, StartWithin,
                      Declared.m_Estimate, Job.m_Declaration.m_Specification});
}

void JobCore::Impl::armTimer(JobIndex Index) {
  JobRecord &Job = m_Jobs[Index];
  m_Timers.cancel(Job.m_Timer);
  Job.m_Timer = m_Timers.add(lastHope(Job), TimerKind::Deadline, Index);
}

TimePoint JobCore::Impl::lastHope(const JobRecord &Job) const {
  // A late answer is of use as long as its caller waits; late jobs get only the
  // room that others leave.
  return Job.m_Times.m_Deadline - AnswerMargin - shortestRest(Job);
}

Duration JobCore::Impl::shortestRest(const JobRecord &Job) const {
  Duration Rest{};
  for (std::size_t Number = 0; Number < Job.m_Steps.size(); ++Number)
    if (Job.m_Steps[Number].m_Waiting > 0)
      Rest = std::max(Rest, Job.m_Declaration.m_Steps[Number].m_Estimate);
  return Duration(static_cast<Duration::rep>(static_cast<double>(Rest.count()) *
                                             ShortestShare));
}

} // namespace cyclamencroft
