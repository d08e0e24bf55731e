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
  /// \p Clock. Ignored if an earlier reading already implies a later time, as
  /// happens when a message is delayed.
  void observe(TimePoint Now, EndpointMs Clock);

  /// Discards the clock reading and the granted leases; to be called when the
  /// endpoint has restarted.
  void reset();

  /// Whether a clock reading is available; required by grant().
  bool known() const { return m_Reading.has_value(); }

  /// Grants a lease that starts at \p Now and returns its end in the endpoint's
  /// clock, in milliseconds. By that clock, the lease is never longer than the
  /// configured one.
  EndpointMs grant(TimePoint Now);

  /// Time by which every granted lease has expired, in the agent's clock; zero
  /// when none was granted.
  TimePoint latestLeaseExpiry() const { return m_LatestLeaseExpiry; }

  /// Age of the reading; zero when none is available.
  Duration readingAge(TimePoint Now) const;

private:
  struct Reading {
    TimePoint m_At;
    EndpointMs m_Clock;
  };

  /// Earliest time that the endpoint's clock can show at \p Now, as the clock
  /// may be slow since the reading; requires a reading.
  EndpointMs earliestClock(TimePoint Now) const;

  Duration m_Lease;
  /// Invariant: the reading with the highest earliestClock() so far.
  std::optional<Reading> m_Reading;
  TimePoint m_LatestLeaseExpiry{};
};

} // namespace cyclamencroft
