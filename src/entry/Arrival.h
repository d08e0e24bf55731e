// The fields that a new request and a new job have in common.
#pragma once

#include "entry/EntryEvents.h"
#include "entry/Submission.h"

#include <string>

namespace cyclamencroft {

/// View of an arrival event; refers to its strings and must not outlive it.
struct Arrival {
  explicit Arrival(const RequestArrived &Event);
  explicit Arrival(const JobSubmitted &Event);

  SubmissionKind m_Kind;
  CallerId m_Caller;
  RequestId m_Request;
  const std::string &m_Service;
  const std::string &m_Team;
  /// Empty unless the request is non-idempotent and has a key.
  std::string_view m_Key;
  bool m_NonIdempotent;
  Duration m_Deadline;
  Size m_Need;
  TraceContext m_Trace;
  /// Number of tasks; 1 for a request.
  std::uint32_t m_Tasks;
};

} // namespace cyclamencroft
