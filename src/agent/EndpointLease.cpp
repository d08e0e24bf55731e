// Lease of the announced endpoint.
#include "agent/EndpointLease.h"

namespace cyclamencroft {

void EndpointLease::announce(TimePoint Now, const EndpointAnnounced &Endpoint) {
  m_Endpoint = Endpoint;
  m_RenewedAt = Now;
  m_State = State::Held;
}

void EndpointLease::leave() {
  if (!m_Endpoint.m_Service.empty())
    m_State = State::Left;
}

void EndpointLease::revoke() {
  if (m_State == State::Held)
    m_State = State::Absent;
}

void EndpointLease::expire(TimePoint Now) {
  if (m_State == State::Held && Now >= expiry())
    m_State = State::Absent;
}

TimePoint EndpointLease::expiry() const {
  return m_State == State::Held ? m_RenewedAt + m_Length : TimePoint::max();
}

} // namespace cyclamencroft
