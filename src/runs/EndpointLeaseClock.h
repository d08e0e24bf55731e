// Converts between the agent's clock and the endpoint's, and bounds the time
// until which an unreachable endpoint may continue its runs.
#pragma once

#include "runs/RunEvents.h"

#include <optional>

namespace cyclamencroft {

class EndpointLeaseClock {
public:
  explicit EndpointLeaseClock(Duration Lease) : m_Lease(Lease) {}

  /// Records that a message received at \p Now reported the endpoint's clock as
  /// \p Clock.
  void observe(TimePoint Now, EndpointMs Clock);

  /// Discards the clock reading and the granted leases; to be called when the
  /// endpoint has restarted.
  void reset();

  /// Whether a clock reading is available; required by grant().
  bool known() const { return m_Reading.has_value(); }

  /// Grants a lease that starts at \p Now and returns its end in the endpoint's
  /// clock, in milliseconds. The lease is never longer than the configured one,
  /// because the reading was already in transit for some time.
  EndpointMs grant(TimePoint Now);

  /// Time by which every granted lease has expired, in the agent's clock; zero
  /// when none was granted.
  TimePoint latestLeaseExpiry() const { return m_LatestLeaseExpiry; }

private:
  struct Reading {
    TimePoint m_At;
    EndpointMs m_Clock;
  };

  Duration m_Lease;
  /// Only the latest reading is used, because the clocks run at different
  /// rates.
  std::optional<Reading> m_Reading;
  TimePoint m_LatestLeaseExpiry{};
};

} // namespace cyclamencroft
