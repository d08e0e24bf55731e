// Builds the common view of request and job events.
#include "entry/Arrival.h"

namespace cyclamencroft {

Arrival::Arrival(const RequestArrived &Event)
    : m_Kind(SubmissionKind::Request), m_Caller(Event.m_Caller),
      m_Request(Event.m_Request), m_Service(Event.m_Service),
      m_Team(Event.m_Team), m_NonIdempotent(Event.m_NonIdempotent),
      m_Deadline(Event.m_Deadline), m_Need(Event.m_Need),
      m_Trace(Event.m_Trace), m_Tasks(1) {
  if (Event.m_NonIdempotent)
    m_Key = Event.m_Key;
}

Arrival::Arrival(const JobSubmitted &Event)
    : m_Kind(SubmissionKind::Job), m_Caller(Event.m_Caller),
      m_Request(Event.m_Request), m_Service(Event.m_Service),
      m_Team(Event.m_Team), m_NonIdempotent(true), m_Deadline(Event.m_Deadline),
      m_Need(Event.m_Need), m_Trace(Event.m_Trace),
      m_Tasks(static_cast<std::uint32_t>(Event.m_Tasks.size())) {}

} // namespace cyclamencroft
