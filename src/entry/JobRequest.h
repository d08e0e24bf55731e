// Reads the JSON body of a job.
#pragma once

#include "core/Payload.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

constexpr std::size_t MaxTasksPerJob = 200;
constexpr std::size_t MaxRequestBytes = std::size_t(64) * 1024;
constexpr std::size_t MaxJobBytes = std::size_t(1024) * 1024;

/// Tasks of a job, or what is wrong and where.
struct JobRequest {
  std::vector<Payload> m_Tasks;
  /// Empty when the job is valid.
  std::string m_Fault;
};

/// Expects exactly {"tasks": ["body", ...]} with 1 to MaxTasksPerJob strings.
JobRequest parseJobRequest(std::string_view Json);

} // namespace cyclamencroft
