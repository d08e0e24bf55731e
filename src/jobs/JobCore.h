// Scheduler of an entry: owns every accepted job until its caller is answered,
// and starts the tasks through agents that manage capacity and leases. A pure
// state machine without I/O: it consumes events and returns commands.
#pragma once

#include "jobs/JobEvents.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

struct JobCoreOptions {
  std::string m_EntryId;
  /// Agents in this domain hold copies of the configuration.
  std::string m_FailureDomain;
  Incarnation m_Incarnation{};
  /// Longest lease under which endpoints let runs continue without a renewal by
  /// their agent.
  Duration m_EndpointLease{std::chrono::seconds(1)};
  /// Seeds placement, so that a session replays exactly.
  std::uint64_t m_Seed = 1;
};

/// Values for status and metrics; counters never decrease.
struct JobCoreStatus {
  std::uint64_t m_Agents = 0;
  std::uint64_t m_ActiveEndpoints = 0;
  std::uint64_t m_EvacuatedEndpoints = 0;
  std::uint64_t m_EvacuatedDomains = 0;
  std::uint64_t m_Jobs = 0;
  std::uint64_t m_WaitingJobs = 0;
  std::uint64_t m_Runs = 0;
  std::uint64_t m_JobsOffered = 0;
  std::uint64_t m_JobsCompleted = 0;
  std::uint64_t m_JobsFailed = 0;
  std::uint64_t m_JobsNotRun = 0;
  std::uint64_t m_JobsGivenUp = 0;
  std::uint64_t m_JobsCancelled = 0;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_Retries = 0;
};

enum class JobState : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

class JobCore {
public:
  explicit JobCore(JobCoreOptions Options);
  ~JobCore();
  JobCore(const JobCore &) = delete;
  JobCore &operator=(const JobCore &) = delete;

  /// Consumes one event and appends the resulting commands to \p Commands.
  /// \p Now never goes back between calls.
  void handle(TimePoint Now, const JobEvent &Event,
              std::vector<JobCommand> &Commands);

  /// When a Tick is due; TimePoint::max() when none is.
  TimePoint nextWakeup() const;

  JobCoreStatus status() const;

  /// State of a job that this entry owns or finished a short time ago; nothing
  /// for an unknown job and for one that was refused or given up.
  std::optional<JobState> state(JobId Job) const;

  /// Jobs of the queue of which no task has been started.
  std::uint64_t waiting(std::string_view Queue) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
