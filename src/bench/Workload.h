// Plan of the calls that the load generator makes: arrival times, kinds and run
// times, all drawn from one seed.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <vector>

namespace cyclamencroft {

/// One request (one run time) or job (several).
struct PlannedCall {
  /// From the start of the load.
  Duration m_At{};
  bool m_Job = false;
  bool m_NonIdempotent = false;
  /// Invariant: not empty.
  std::vector<Duration> m_RunTimes;
};

struct WorkloadOptions {
  std::uint64_t m_Seed = 1;
  Duration m_Length{std::chrono::seconds(10)};
  std::uint32_t m_Slots = 88;
  /// Offered work as a share of all slots.
  double m_Load = 0.8;
  /// Share of the work that comes in jobs.
  double m_JobShare = 0.0;
  std::uint32_t m_TasksPerJob = 20;
  /// Requests that arrive together in the middle of the load; 0 for none.
  std::uint32_t m_Burst = 0;
};

/// Calls in order of arrival.
std::vector<PlannedCall> planWorkload(const WorkloadOptions &Options);

/// Best possible response time: a request's run time; for a job the larger of
/// its longest task and its work over the slots. Network ways are not included:
/// on loopback they are well below a millisecond.
Duration idealResponseTime(const PlannedCall &Call, std::uint32_t Slots);

} // namespace cyclamencroft
