// Order in which waiting jobs are placed. It matters in a burst, when more work
// arrives than the endpoints can start: each job has a latest start time, after
// which it is likely to miss its objective.
#pragma once

#include "jobs/JobDeclaration.h"

#include <cstdint>
#include <tuple>

namespace cyclamencroft {

/// Times of one job that follow from its declaration and its queue.
struct JobTimes {
  TimePoint m_ArrivedAt{};
  /// The job is on time when it ends by then.
  TimePoint m_Objective{};
  /// A chain of steps that starts later is likely to miss the objective.
  TimePoint m_LatestStart{};
  /// The caller stops waiting at this time.
  TimePoint m_Deadline{};
};

/// Times of a job that is offered at \p Now by a caller that has waited for
/// \p WaitedBefore since it sent the job first.
JobTimes timesOf(TimePoint Now, Duration Chain, const QueuePolicy &Policy,
                 Duration CallerTimeout, Duration WaitedBefore);

/// Sort key of a waiting job; the smallest comes first.
struct JobOrderKey {
  /// Jobs that are late come after all others: capacity spent on them would
  /// make jobs late that can still be on time. A job is late from the start,
  /// when its caller sent it first too long ago, or when its objective has
  /// passed after it has begun.
  bool m_Late = false;
  /// Latest start, delayed according to the priority of the queue.
  TimePoint m_Rank{};
  std::uint64_t m_Arrival = 0;

  friend bool operator<(const JobOrderKey &A, const JobOrderKey &B) {
    return std::tie(A.m_Late, A.m_Rank, A.m_Arrival) <
           std::tie(B.m_Late, B.m_Rank, B.m_Arrival);
  }
};

/// Sort key of a new job; \p Arrival is its number in the order of arrival. It
/// is late from the start when its caller sent it first too long ago.
JobOrderKey orderKeyOf(const JobTimes &Times, const QueuePolicy &Policy,
                       std::uint64_t Arrival);

} // namespace cyclamencroft
