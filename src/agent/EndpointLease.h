// The endpoint's announcement and how long it holds.
#pragma once

#include "agent/AgentEvents.h"

#include <string>

namespace cyclamencroft {

class EndpointLease {
public:
  enum class State : std::uint8_t {
    Absent, ///< Never announced, lapsed, or refused a connection.
    Held,   ///< Announced and renewed in time.
    Left,   ///< Said that it is leaving.
  };

  explicit EndpointLease(Duration Length) : m_Length(Length) {}

  /// Takes or renews the lease.
  void announce(TimePoint Now, const EndpointAnnounced &Endpoint);
  void leave();
  /// Ends the lease until the next announcement: the endpoint is not there.
  void revoke();
  /// Ends the lease when it was not renewed in time.
  void expire(TimePoint Now);

  State state() const { return m_State; }
  /// When the lease lapses; TimePoint::max() while it is not held.
  TimePoint expiry() const;
  /// Last announcement; its service is empty before the first one.
  const EndpointAnnounced &endpoint() const { return m_Endpoint; }

private:
  Duration m_Length;
  State m_State = State::Absent;
  EndpointAnnounced m_Endpoint;
  TimePoint m_RenewedAt{};
};

} // namespace cyclamencroft
