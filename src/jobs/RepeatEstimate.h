// Estimates how long the caller of a job has been waiting since it sent the job
// first. After a loss of power or of an entry, callers send their jobs again
// within a second, beside the usual load. Their objectives have passed, so that
// jobs that can still be on time should come before them.
#pragma once

#include "core/RuntimeClock.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamencroft {

class RepeatEstimate {
public:
  /// Callers of a queue wait for at least its timeout, counted from the first
  /// time that they send a job. Returns the time by which \p CallerTimeout is
  /// shorter, or zero if nearly all callers of the queue wait for less than its
  /// timeout, which then says nothing about them.
  Duration waitedBefore(std::string_view Queue, Duration QueueTimeout,
                        Duration CallerTimeout);

private:
  /// Moving average by queue: share of jobs whose callers wait for less than
  /// the queue's timeout.
  std::unordered_map<std::string, double> m_ShortShare;
};

} // namespace cyclamencroft
