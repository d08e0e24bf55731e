// Types that describe runs and the load of endpoints. A run is one start of one
// task of a job on an endpoint, which runs it under a lease.
#pragma once

#include "core/JobId.h"
#include "core/RuntimeClock.h"
#include "core/Size.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cyclamencroft {

struct TaskName {
  JobId m_Job{};
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;

  friend bool operator==(const TaskName &A, const TaskName &B) {
    return std::tie(A.m_Job, A.m_Step, A.m_Index) ==
           std::tie(B.m_Job, B.m_Step, B.m_Index);
  }
  friend bool operator<(const TaskName &A, const TaskName &B) {
    return std::tie(A.m_Job, A.m_Step, A.m_Index) <
           std::tie(B.m_Job, B.m_Step, B.m_Index);
  }
};

/// One start of a task. Run numbers of a task only increase, so that an
/// endpoint can distinguish a delayed call from a new one.
struct RunName {
  TaskName m_Task;
  std::uint32_t m_Number = 0;

  friend bool operator==(const RunName &A, const RunName &B) {
    return A.m_Task == B.m_Task && A.m_Number == B.m_Number;
  }
  friend bool operator<(const RunName &A, const RunName &B) {
    return std::tie(A.m_Task, A.m_Number) < std::tie(B.m_Task, B.m_Number);
  }
};

/// Returns "JOB.STEP.INDEX#NUMBER" for log lines.
std::string describe(const RunName &Run);

/// How a run ended.
enum class RunEnd : std::uint8_t {
  Done = 0,
  Failed = 1,       ///< By an error of the task or of the endpoint.
  Stopped = 2,      ///< By a call of the agent.
  LeaseExpired = 3, ///< The lease expired at the endpoint.
  Lost = 4,         ///< The endpoint restarted or can no longer be running it.
  NotStarted = 5,
};

/// Why a run was not started; None for runs that were.
enum class StartRefusal : std::uint8_t {
  None = 0,
  NoCapacity = 1,    ///< Other runs have reserved the resources.
  Draining = 2,      ///< Agent or endpoint is draining.
  NoEndpoint = 3,    ///< No endpoint is known, or it can't be reached.
  Late = 4,          ///< The call was in transit for too long.
  Unhealthy = 5,     ///< The endpoint currently refuses work.
  Superseded = 6,    ///< The endpoint has received a later run of the task.
  Invalid = 7,       ///< The endpoint can't parse the call.
  Cancelled = 8,     ///< The entry cancelled it, or its lease expired.
  OtherEndpoint = 9, ///< Another endpoint replaced the one it was placed on.
  Evacuated = 10,    ///< The endpoint's failure domain is evacuated.
};

std::string_view toString(RunEnd End);
std::string_view toString(StartRefusal Reason);

/// Whether runs can be started at an endpoint.
enum class EndpointState : std::uint8_t {
  Absent = 0,   ///< Not announced, or unreachable.
  Clearing = 1, ///< Runs that an earlier agent process started are being ended.
  Active = 2,
  Draining = 3,
  Evacuated = 4, ///< Its failure domain is evacuated.
};

std::string_view toString(EndpointState State);

/// Numbers the endpoints that one agent process has had, from 1. It grows when
/// the endpoint is another process or offers another service, other labels or
/// another failure domain.
enum class EndpointGeneration : std::uint64_t {};

std::string describe(EndpointGeneration Generation);

/// Properties and state of an endpoint, as its agent reports them.
struct EndpointView {
  /// A placement that was decided on this view holds for this generation only.
  EndpointGeneration m_Generation{};
  std::string m_Id;
  std::string m_Service;
  std::string m_FailureDomain;
  /// Type of the worker and its rack.
  std::vector<std::string> m_Labels;
  /// Endpoints on workers of one type are equally fast; empty when unknown.
  std::string m_WorkerType;
  Size m_Capacity;
  EndpointState m_State = EndpointState::Absent;
};

/// Recent performance of an endpoint, measured over the runs of all entries.
struct EndpointQuality {
  /// Mean run time as a percentage of the estimates; 0 when unknown.
  std::uint32_t m_RunTimePercent = 0;
  /// Percentage of runs that failed; 0 when unknown.
  std::uint32_t m_FailedPercent = 0;
  /// Time since the last run that contributed to the figures.
  Duration m_SampleAge{};
};

/// Resources that runs of all entries have reserved at an endpoint or wait for.
struct EndpointLoad {
  Size m_Reserved;
  Size m_Waiting;
  std::uint32_t m_Runs = 0;
  /// Number of starts sent by the receiving entry on this link that the other
  /// members take into account.
  std::uint64_t m_StartsReceived = 0;
  EndpointQuality m_Quality;
};

} // namespace cyclamencroft
