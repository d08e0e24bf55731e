// A job as its caller declares it, and the policy of the queue that it was
// offered to.
#pragma once

#include "core/Payload.h"
#include "core/Runs.h"
#include "core/RuntimeClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

/// Tasks of the same size that may run at the same time.
struct StepDeclaration {
  std::uint32_t m_Count = 0;
  Size m_Need;
  /// Estimated run time of one task.
  Duration m_Estimate{};
  /// Numbers of the steps that must be done before this one starts.
  std::vector<std::uint32_t> m_Dependencies;
  /// Label that the worker must have; empty for none.
  std::string m_RequiredLabel;
  /// Label of the rack that holds the data; empty for none.
  std::string m_DataRack;
  /// Tasks of the step that one endpoint may run at once; 0 for any number.
  std::uint32_t m_MaxTasksPerEndpoint = 0;
};

struct JobDeclaration {
  JobId m_Id{};
  Payload m_Specification;
  std::vector<StepDeclaration> m_Steps;
  /// Requirement of the job that this dispatcher does not support; empty for
  /// none.
  std::string m_UnsupportedFeature;
};

/// Duration of the longest chain of dependent steps, by their estimates.
Duration longestChain(const std::vector<StepDeclaration> &Steps);

/// Scheduling policy of one queue.
struct QueuePolicy {
  std::string m_Name;
  std::string m_Service;
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  /// Failed runs of one task after which its job fails.
  std::uint32_t m_MaxAttempts = 1;
  /// A job is on time when it takes at most this multiple of its longest chain
  /// plus m_TargetLatency.
  double m_Stretch = 1;
  Duration m_TargetLatency{};
  /// Timeout for callers that do not specify one.
  Duration m_Timeout{};
};

} // namespace cyclamencroft
