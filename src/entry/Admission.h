// Arithmetic of admission: how long new work would wait.
#pragma once

#include "core/RuntimeClock.h"
#include "entry/Submission.h"

#include <cstdint>

namespace cyclamencroft {

/// Load of a service when new work arrives.
struct ServiceLoad {
  std::uint32_t m_WaitingRequests = 0;
  std::uint32_t m_WaitingJobs = 0;
  std::uint32_t m_WaitingJobTasks = 0;
  /// Slots of the service's endpoints over all entries.
  std::uint32_t m_Slots = 0;
  /// Entries that share the slots; at least 1.
  std::uint32_t m_Entries = 1;
  /// Zero while unknown.
  Duration m_RunTime{};
};

/// Expected time until the last of \p Tasks new tasks starts, given the turns
/// between requests and jobs. Zero when nothing waits or run times are unknown.
Duration expectedWait(SubmissionKind Kind, std::uint32_t Tasks,
                      const ServiceLoad &Load);

} // namespace cyclamencroft
