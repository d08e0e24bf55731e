// Keeps jobs in buckets by number of waiting tasks, with a bit set of the
// buckets that are not empty.
#include "entry/JobQueue.h"

namespace cyclamencroft {
namespace {

/// One in this many turns goes to the oldest job.
constexpr std::uint32_t OldestJobInterval = 4;

std::uint32_t lowestBit(std::uint64_t Word) {
  return static_cast<std::uint32_t>(__builtin_ctzll(Word));
}

} // namespace

JobQueue::JobQueue()
    : m_ByArrival(&QueuePosition::m_Arrival),
      m_BySize(MaxTasksPerJob + 1, SubmissionList(&QueuePosition::m_BySize)) {}

SubmissionIndex JobQueue::front() const {
  if (m_Turn % OldestJobInterval == OldestJobInterval - 1)
    return m_ByArrival.front();
  for (std::uint32_t Word = 0; Word < Words; ++Word)
    if (m_Occupied[Word] != 0)
      return m_BySize[Word * WordBits + lowestBit(m_Occupied[Word])].front();
  return NoIndex;
}

void JobQueue::add(SubmissionTable &Table, SubmissionIndex Job) {
  m_ByArrival.pushBack(Table, Job);
  addBySize(Table, Job);
}

void JobQueue::addFront(SubmissionTable &Table, SubmissionIndex Job) {
  m_ByArrival.pushFront(Table, Job);
  addBySize(Table, Job);
}

void JobQueue::remove(SubmissionTable &Table, SubmissionIndex Job) {
  m_ByArrival.remove(Table, Job);
  removeBySize(Table, Job);
}

void JobQueue::updateSize(SubmissionTable &Table, SubmissionIndex Job) {
  removeBySize(Table, Job);
  addBySize(Table, Job);
}

void JobQueue::addBySize(SubmissionTable &Table, SubmissionIndex Job) {
  Submission &Added = Table[Job];
  const auto Waiting = static_cast<std::uint32_t>(Added.m_Waiting.size());
  const bool Started = Waiting < Added.m_Tasks.size();
  Added.m_Queue.m_Waiting = Waiting;
  // A job that has started goes before others of the same size.
  if (Started)
    m_BySize[Waiting].pushFront(Table, Job);
  else
    m_BySize[Waiting].pushBack(Table, Job);
  m_Occupied[Waiting / WordBits] |= std::uint64_t{1} << (Waiting % WordBits);
}

void JobQueue::removeBySize(SubmissionTable &Table, SubmissionIndex Job) {
  const std::uint32_t Waiting = Table[Job].m_Queue.m_Waiting;
  m_BySize[Waiting].remove(Table, Job);
  if (m_BySize[Waiting].empty())
    m_Occupied[Waiting / WordBits] &=
        ~(std::uint64_t{1} << (Waiting % WordBits));
}

} // namespace cyclamencroft
