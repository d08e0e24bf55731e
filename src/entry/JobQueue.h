// Waiting jobs of one team. Most turns go to the job with the fewest waiting
// tasks, which keeps short jobs short behind a backlog; every fourth turn goes
// to the oldest job, so that a long job is not starved by short ones.
#pragma once

#include "entry/SubmissionList.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cyclamencroft {

/// Most tasks of one job.
constexpr std::uint32_t MaxJobTasks = 200;

class JobQueue {
public:
  JobQueue();

  bool empty() const { return m_ByArrival.empty(); }

  /// Job whose task is next; NoIndex when empty.
  SubmissionIndex front() const;

  void add(SubmissionTable &Table, SubmissionIndex Job);

  /// Adds a job that was in the queue before, as the oldest one.
  void addFront(SubmissionTable &Table, SubmissionIndex Job);
  void remove(SubmissionTable &Table, SubmissionIndex Job);

  /// Moves the job to its place after its number of waiting tasks changed.
  void resized(SubmissionTable &Table, SubmissionIndex Job);

  /// Counts a turn.
  void turnTaken() { ++m_Turn; }

private:
  static constexpr std::uint32_t WordBits = 64;
  static constexpr std::uint32_t Words = MaxJobTasks / WordBits + 1;

  void addBySize(SubmissionTable &Table, SubmissionIndex Job);
  void removeBySize(SubmissionTable &Table, SubmissionIndex Job);

  SubmissionList m_ByArrival;
  // Indexed by the number of waiting tasks. Invariant: holds the same jobs as
  // m_ByArrival.
  std::vector<SubmissionList> m_BySize;
  // Invariant: bit N is set if and only if m_BySize[N] is not empty.
  std::array<std::uint64_t, Words> m_Occupied{};
  std::uint32_t m_Turn = 0;
};

} // namespace cyclamencroft
