// Order in which waiting jobs get room. Answers the load of a burst: more work
// arrives than the endpoints can start, and each job has a time up to which it
// can still be on time.
#pragma once

#include "jobs/JobDeclaration.h"

#include <cstdint>
#include <tuple>

namespace cyclamencroft {

/// Times of one job that follow from its declaration and its queue.
struct JobTimes {
  TimePoint m_ArrivedAt{};
  /// End by which the job is on time.
  TimePoint m_Objective{};
  /// A chain that starts later may well miss the objective.
  TimePoint m_LatestStart{};
  /// The caller stops waiting then.
  TimePoint m_Deadline{};
};

JobTimes timesOf(TimePoint Now, Duration Chain, const QueuePolicy &Policy,
                 Duration Patience);

/// Place of a job among the waiting ones; the smallest comes first.
struct JobPlace {
  /// Jobs that have missed their latest start come after all others: room
  /// spent on them would make jobs late that can still be on time.
  bool m_Late = false;
  /// Latest start, put off by the priority of the queue.
  TimePoint m_Rank{};
  std::uint64_t m_Arrival = 0;

  friend bool operator<(const JobPlace &A, const JobPlace &B) {
    return std::tie(A.m_Late, A.m_Rank, A.m_Arrival) <
           std::tie(B.m_Late, B.m_Rank, B.m_Arrival);
  }
};

/// Place of the job that came as number \p Arrival and can still be on time.
JobPlace placeOf(const JobTimes &Times, const QueuePolicy &Policy,
                 std::uint64_t Arrival);

} // namespace cyclamencroft
