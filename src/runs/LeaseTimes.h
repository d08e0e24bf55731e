// Durations of the leases between entries, agents and endpoints. An agent stops
// the runs of an entry that has not extended its lease for EntryLeaseTime; an
// endpoint ends all runs when its agent does not extend the endpoint's lease in
// time.
#pragma once

#include "core/RuntimeClock.h"

namespace cyclamencroft {

/// Shorter than the 1.3 s after which a caller resends a job when its entry is
/// lost, and three times the interval at which it is extended.
constexpr Duration EntryLeaseTime = std::chrono::milliseconds(600);

/// An entry extends its lease at EntryLeaseInterval while it has runs at an
/// agent, and at IdleLeaseInterval otherwise, so that both sides detect a dead
/// connection.
constexpr Duration EntryLeaseInterval = std::chrono::milliseconds(200);
constexpr Duration IdleLeaseInterval = std::chrono::seconds(2);

/// An agent treats a connection as dead after this time without a message.
constexpr Duration LinkIdleTimeout =
    2 * IdleLeaseInterval + std::chrono::seconds(1);

/// Percentage by which an endpoint's clock may be slower than the agent's.
constexpr int EndpointClockDriftPercent = 2;

/// Percentage of a lease after which it has surely expired at the endpoint: its
/// clock may be slow, and its timer late.
constexpr int EndpointLeaseExpiryPercent = 103;

/// Time after which an unreachable agent has no active runs of an entry
/// that last extended its lease at \p LeaseSentAt.
constexpr TimePoint allLeasesExpiredAt(TimePoint LeaseSentAt,
                                       Duration EndpointLease) {
  // Stopping a run at the end of the lease takes 50 ms; another 50 ms allow for
  // timers that fire late.
  constexpr Duration Margin = std::chrono::milliseconds(100);
  return LeaseSentAt + EntryLeaseTime +
         EndpointLease * EndpointLeaseExpiryPercent / 100 + Margin;
}

/// A start that is delayed in transit for longer is refused, because the entry
/// may have abandoned the task. Well below the entry's lease.
constexpr Duration MaxStartDelay = std::chrono::milliseconds(300);

/// Longest transit time that the first message of a link may have had. An agent
/// measures the delays of a link against its fastest message so far, so a start
/// may be delayed by this much and by MaxStartDelay when it is accepted. It
/// must then end with its lease before the entry starts the task elsewhere.
constexpr Duration maxUnmeasuredDelay(Duration EndpointLease) {
  constexpr Duration StopMargin = std::chrono::milliseconds(100);
  const TimePoint SentAt{};
  return allLeasesExpiredAt(SentAt, EndpointLease) - SentAt - EntryLeaseTime -
         MaxStartDelay - StopMargin;
}

} // namespace cyclamencroft
