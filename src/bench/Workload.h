// Plans the calls of the load generator: arrival times, kinds and run times,
// all drawn from one seeded random generator.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <vector>

namespace cyclamencroft {

/// A request with one run time, or a job with one run time per task.
struct PlannedCall {
  /// Send time relative to the start of the load.
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
  /// Offered load as a fraction of all slots.
  double m_Load = 0.8;
  /// Fraction of the load that arrives as jobs.
  double m_JobShare = 0.0;
  std::uint32_t m_TasksPerJob = 20;
  /// Requests that arrive together in the middle of the load; 0 for none.
  std::uint32_t m_Burst = 0;
};

/// Calls in order of arrival.
std::vector<PlannedCall> planWorkload(const WorkloadOptions &Options);

/// Lower bound of the response time: the run time of a request; for a job the
/// larger of its longest run time and its total run time divided by \p Slots.
/// Network latency is not included: on loopback it is well below 1 ms.
Duration idealResponseTime(const PlannedCall &Call, std::uint32_t Slots);

} // namespace cyclamencroft
