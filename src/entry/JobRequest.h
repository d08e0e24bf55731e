// Parses the JSON body of a job submission.
#pragma once

#include "core/Payload.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

constexpr std::size_t MaxTasksPerJob = 200;
constexpr std::size_t MaxRequestBytes = std::size_t(64) * 1024;
constexpr std::size_t MaxJobBytes = std::size_t(1024) * 1024;

/// Tasks of a job, or the error that makes the body invalid.
struct JobRequest {
  /// Empty when the body is invalid.
  std::vector<Payload> m_Tasks;
  /// Error, with its position where it has one; empty when the body is valid.
  std::string m_Error;
};

/// Parses a body of the form {"tasks": ["body", ...]} with 1 to MaxTasksPerJob
/// strings and no other keys. The body has at most MaxJobBytes, each string at
/// most MaxRequestBytes.
JobRequest parseJobRequest(std::string_view Json);

} // namespace cyclamencroft
