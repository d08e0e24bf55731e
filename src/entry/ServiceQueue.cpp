// Round robin between lanes, kinds of submission and teams.
#include "entry/ServiceQueue.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Maximum number of lanes of a service. Submissions with further sizes share
/// the last lane, so that callers can't make every turn scan thousands of
/// lanes.
constexpr std::size_t MaxLanes = 32;

} // namespace

void ServiceQueue::add(SubmissionIndex Index) {
  Submission &Added = (*m_Table)[Index];
  Added.m_Queue.m_Lane = laneFor(Added.m_Need);
  const auto Tasks = static_cast<std::uint32_t>(Added.m_Waiting.size());
  (Added.isJob() ? m_JobTasks : m_Requests) += Tasks;
  enqueue(Index, false);
}

void ServiceQueue::returnTask(SubmissionIndex Index, std::uint32_t Task) {
  Submission &Owner = (*m_Table)[Index];
  Owner.m_Waiting.push_back(Task);
  ++(Owner.isJob() ? m_JobTasks : m_Requests);
  if (Owner.m_Queue.m_Lane == NoIndex) {
    Owner.m_Queue.m_Lane = laneFor(Owner.m_Need);
    enqueue(Index, true);
    return;
  }
  Lane &In = m_Lanes[Owner.m_Queue.m_Lane];
  In.m_Teams[Owner.m_Queue.m_Team].m_Jobs.updateSize(*m_Table, Index);
}

void ServiceQueue::remove(SubmissionIndex Index) {
  Submission &Removed = (*m_Table)[Index];
  if (Removed.m_Queue.m_Lane == NoIndex)
    return;
  const auto Tasks = static_cast<std::uint32_t>(Removed.m_Waiting.size());
  (Removed.isJob() ? m_JobTasks : m_Requests) -= Tasks;
  Removed.m_Waiting.clear();
  dequeue(Index);
}

SubmissionIndex ServiceQueue::front() {
  const auto Count = static_cast<std::uint32_t>(m_Lanes.size());
  for (std::uint32_t Step = 0; Step < Count; ++Step) {
    const Lane &In = m_Lanes[m_NextLane % Count];
    if (!In.m_Blocked && !In.empty())
      return frontOf(In);
    m_NextLane = (m_NextLane + 1) % Count;
  }
  return NoIndex;
}

std::uint32_t ServiceQueue::take(SubmissionIndex Index) {
  Submission &Owner = (*m_Table)[Index];
  Lane &In = m_Lanes[Owner.m_Queue.m_Lane];
  const std::uint32_t Task = Owner.m_Waiting.back();
  Owner.m_Waiting.pop_back();
  --(Owner.isJob() ? m_JobTasks : m_Requests);
  ++In.m_Turn;
  ++m_NextLane;
  if (Owner.isJob()) {
    JobQueue &Jobs = In.m_Teams[Owner.m_Queue.m_Team].m_Jobs;
    Jobs.countTurn();
    ++In.m_NextTeam;
    if (!Owner.m_Waiting.empty())
      Jobs.updateSize(*m_Table, Index);
  }
  if (Owner.m_Waiting.empty())
    dequeue(Index);
  return Task;
}

void ServiceQueue::block(SubmissionIndex Index) {
  m_Lanes[(*m_Table)[Index].m_Queue.m_Lane].m_Blocked = true;
}

void ServiceQueue::unblock() {
  for (Lane &Each : m_Lanes)
    Each.m_Blocked = false;
}

std::uint32_t ServiceQueue::laneFor(const Size &Need) {
  std::size_t Unused = m_Lanes.size();
  for (std::size_t Index = 0; Index < m_Lanes.size(); ++Index) {
    Lane &Each = m_Lanes[Index];
    // No later event unblocks a lane that became empty while it was blocked.
    if (Each.empty())
      Each.m_Blocked = false;
    if (Each.m_Need == Need)
      return static_cast<std::uint32_t>(Index);
    if (Each.empty())
      Unused = Index;
  }
  if (Unused == m_Lanes.size()) {
    if (m_Lanes.size() == MaxLanes)
      return static_cast<std::uint32_t>(MaxLanes - 1);
    m_Lanes.emplace_back();
  }
  m_Lanes[Unused].m_Need = Need;
  return static_cast<std::uint32_t>(Unused);
}

std::uint32_t ServiceQueue::teamFor(Lane &In, const std::string &Name) {
  const auto Found =
      std::find_if(In.m_Teams.begin(), In.m_Teams.end(),
                   [&](const Team &Each) { return Each.m_Name == Name; });
  if (Found != In.m_Teams.end())
    return static_cast<std::uint32_t>(Found - In.m_Teams.begin());
  In.m_Teams.push_back(Team{Name, JobQueue()});
  return static_cast<std::uint32_t>(In.m_Teams.size() - 1);
}

void ServiceQueue::activate(Lane &In, std::uint32_t Team) {
  // Insert before the team that is next, so that the new team's turn is last.
  const std::size_t Position =
      In.m_Active.empty() ? 0 : In.m_NextTeam % In.m_Active.size();
  In.m_Active.insert(
      In.m_Active.begin() + static_cast<std::ptrdiff_t>(Position), Team);
  if (In.m_Active.size() > 1)
    In.m_NextTeam = static_cast<std::uint32_t>(Position + 1);
}

void ServiceQueue::deactivate(Lane &In, std::uint32_t Team) {
  const auto Found = std::find(In.m_Active.begin(), In.m_Active.end(), Team);
  const auto Position = static_cast<std::uint32_t>(Found - In.m_Active.begin());
  const auto Count = static_cast<std::uint32_t>(In.m_Active.size());
  std::uint32_t Next = In.m_NextTeam % Count;
  In.m_Active.erase(Found);
  In.m_NextTeam = Position < Next ? Next - 1 : Next;
}

SubmissionIndex ServiceQueue::frontOf(const Lane &In) {
  const bool JobTurn = In.m_Turn % JobTurnInterval == JobTurnInterval - 1;
  const bool TakeJob = In.m_Requests.empty() || JobTurn;
  if (In.m_Active.empty() || !TakeJob)
    return In.m_Requests.front();
  const std::uint32_t Next = In.m_Active[In.m_NextTeam % In.m_Active.size()];
  return In.m_Teams[Next].m_Jobs.front();
}

void ServiceQueue::enqueue(SubmissionIndex Index, bool AtFront) {
  Submission &Added = (*m_Table)[Index];
  Lane &In = m_Lanes[Added.m_Queue.m_Lane];
  if (!Added.isJob()) {
    AtFront ? In.m_Requests.pushFront(*m_Table, Index)
            : In.m_Requests.pushBack(*m_Table, Index);
    return;
  }
  ++m_Jobs;
  Added.m_Queue.m_Team = teamFor(In, Added.m_Team);
  JobQueue &Jobs = In.m_Teams[Added.m_Queue.m_Team].m_Jobs;
  if (Jobs.empty())
    activate(In, Added.m_Queue.m_Team);
  AtFront ? Jobs.addFront(*m_Table, Index) : Jobs.add(*m_Table, Index);
}

void ServiceQueue::dequeue(SubmissionIndex Index) {
  Submission &Removed = (*m_Table)[Index];
  Lane &In = m_Lanes[Removed.m_Queue.m_Lane];
  Removed.m_Queue.m_Lane = NoIndex;
  if (!Removed.isJob()) {
    In.m_Requests.remove(*m_Table, Index);
    return;
  }
  --m_Jobs;
  JobQueue &Jobs = In.m_Teams[Removed.m_Queue.m_Team].m_Jobs;
  Jobs.remove(*m_Table, Index);
  if (Jobs.empty())
    deactivate(In, Removed.m_Queue.m_Team);
}

} // namespace cyclamencroft
