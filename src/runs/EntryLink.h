// State that a run agent keeps for one entry process.
#pragma once

#include "agent/DelayEstimate.h"
#include "runs/RunEvents.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace cyclamencroft {

/// Kept after the connection is lost, while the agent may still hold runs of
/// the entry.
struct EntryLink {
  std::string m_Address;
  /// Present while the connection is open.
  std::optional<LinkId> m_Link;
  /// The EntryHello was received on the present connection.
  bool m_HelloReceived = false;
  std::string m_EntryId;
  Incarnation m_Entry{};
  DelayEstimate m_Delay;
  /// When the RunnerHello or, after it, the latest Ping was sent.
  TimePoint m_RequestSentAt{};
  std::uint64_t m_LastPing = 0;
  /// The first message that m_Delay includes answered a request in time. Until
  /// then, leases are not extended and starts are refused.
  bool m_DelayMeasured = false;
  /// Runs of the entry are stopped at this time, unless the lease is extended.
  TimePoint m_LeaseExpiresAt{};
  /// Highest offset of the evacuation views sent to or received from the entry
  /// on the present connection.
  std::uint64_t m_EvacuationsOffset = 0;
  /// StartTask messages received on the present connection.
  std::uint64_t m_StartsReceived = 0;
  /// Time of the latest message. A connection without messages for
  /// LinkIdleTimeout is closed and opened again.
  TimePoint m_LastMessageAt{};

  /// End of a run of this entry at m_At.
  struct RecentEnd {
    TimePoint m_At;
    TaskEnded m_End;
    /// It was sent on the present connection, by itself or in the RunnerHello.
    bool m_Reported = false;
  };
  /// Oldest first. They may have been lost with the connection and are sent
  /// again with the next hello.
  std::deque<RecentEnd> m_RecentEnds;

  /// Shortest time between two load reports.
  Duration m_ReportInterval{};
  /// When the entry was last told the load, in a report or with a run end.
  TimePoint m_LoadSentAt{};
  /// Time at which a load report is due; max() for none.
  TimePoint m_ReportDueAt = TimePoint::max();
};

} // namespace cyclamencroft
