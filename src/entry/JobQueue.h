// Queue of the waiting jobs of one team. Most turns go to the job with the
// fewest waiting tasks, so that short jobs finish early despite a backlog.
// Every fourth turn goes to the oldest job, so that short jobs don't starve a
// long one.
#pragma once

#include "entry/JobRequest.h"
#include "entry/SubmissionList.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cyclamencroft {

class JobQueue {
public:
  JobQueue();

  bool empty() const { return m_ByArrival.empty(); }

  /// Job whose task is next; NoIndex when empty.
  SubmissionIndex front() const;

  void add(SubmissionTable &Table, SubmissionIndex Job);

  /// Adds a job that was in the queue before at the front, as the oldest one.
  void addFront(SubmissionTable &Table, SubmissionIndex Job);
  void remove(SubmissionTable &Table, SubmissionIndex Job);

  /// Updates the order by size after the job's number of waiting tasks changed.
  void updateSize(SubmissionTable &Table, SubmissionIndex Job);

  /// Counts a turn; every fourth one goes to the oldest job.
  void countTurn() { ++m_Turn; }

private:
  static constexpr std::uint32_t WordBits = 64;
  static constexpr std::uint32_t Words = MaxTasksPerJob / WordBits + 1;

  void addBySize(SubmissionTable &Table, SubmissionIndex Job);
  void removeBySize(SubmissionTable &Table, SubmissionIndex Job);

  SubmissionList m_ByArrival;
  // Lists of jobs, indexed by the number of waiting tasks. Invariant: they hold
  // the same jobs as m_ByArrival.
  std::vector<SubmissionList> m_BySize;
  // Invariant: bit N is set if and only if m_BySize[N] is not empty.
  std::array<std::uint64_t, Words> m_Occupied{};
  std::uint32_t m_Turn = 0;
};

} // namespace cyclamencroft
