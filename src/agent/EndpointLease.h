// The endpoint's last announcement and the lease that it grants.
#pragma once

#include "agent/AgentEvents.h"

#include <string>

namespace cyclamencroft {

class EndpointLease {
public:
  enum class State : std::uint8_t {
    Absent, ///< Never announced, expired, or refused a connection.
    Held,   ///< Announced and renewed in time.
    Left,   ///< Announced that it is draining.
  };

  explicit EndpointLease(Duration Length) : m_Length(Length) {}

  /// Acquires or renews the lease.
  void announce(TimePoint Now, const EndpointAnnounced &Endpoint);
  void leave();
  /// Ends the lease until the next announcement; called when the endpoint can't
  /// be reached.
  void revoke();
  /// Ends the lease when it was not renewed in time.
  void expire(TimePoint Now);

  State state() const { return m_State; }
  /// Time at which the lease expires; TimePoint::max() while it is not held.
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
