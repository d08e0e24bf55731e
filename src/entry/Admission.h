// Estimates how long a new submission would wait in the queue of its service.
#pragma once

#include "core/RuntimeClock.h"
#include "entry/Submission.h"

#include <cstdint>

namespace cyclamencroft {

/// Load of a service when a submission arrives.
struct ServiceLoad {
  std::uint32_t m_WaitingRequests = 0;
  std::uint32_t m_WaitingJobs = 0;
  std::uint32_t m_WaitingJobTasks = 0;
  /// Slots of all endpoints of the service; every entry dispatches to them.
  std::uint32_t m_Slots = 0;
  /// Entries that share the slots; at least 1.
  std::uint32_t m_Entries = 1;
  /// Mean run time of a task; zero while unknown.
  Duration m_RunTime{};
};

/// Expected time until the last of \p Tasks new tasks starts. Takes into
/// account how requests and jobs alternate in a ServiceQueue. Zero when no task
/// waits or the run time is unknown.
Duration expectedWait(SubmissionKind Kind, std::uint32_t Tasks,
                      const ServiceLoad &Load);

} // namespace cyclamencroft
