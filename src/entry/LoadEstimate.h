// Estimate of the busy slots of one agent: the running count of the agent's
// last message plus the entry's own dispatches since.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class LoadEstimate {
public:
  /// Records a message of the agent that reports \p Running running tasks.
  void reported(std::uint32_t Running, TimePoint Now);

  void dispatched(TimePoint Now);

  /// Records that a task of this entry is no longer at the agent.
  void settled();

  /// Records that the agent accepted and ended a task; shortens the backoff
  /// between trials on a stale report.
  void accepted();

  /// Records that the agent refused a task for lack of capacity. The agent
  /// counts as full until the next report or until the report is stale.
  void refusedAsFull(std::uint32_t Slots);

  /// Estimated number of busy slots at \p Now. \p MeanRunTime is the mean run
  /// time of the service.
  std::uint32_t busySlots(TimePoint Now, Duration MeanRunTime) const;

  /// When busySlots() next decreases without a message; max() when it does not.
  TimePoint nextDecrease(TimePoint Now, Duration MeanRunTime) const;

  /// True while the last dispatch, made on a stale report, may still be
  /// refused.
  bool isWithinRefusalWindow(TimePoint Now) const;
  /// Time from which isWithinRefusalWindow() is false.
  TimePoint refusalWindowEnd() const;

  /// Number of outstanding tasks of this entry at the agent.
  std::uint32_t ownTasks() const { return m_OwnTasks; }

  /// Running count of the last message; the slot count or more after a refusal
  /// for lack of capacity.
  std::uint32_t lastReport() const { return m_ReportedRunning; }

  /// True from a refusal for lack of capacity until the next other message.
  bool isRefusedAsFull() const { return m_RefusedAsFull; }

private:
  /// Report age after which the estimate decreases by one slot.
  Duration decayInterval(Duration MeanRunTime) const;
  void rollDispatchWindow(TimePoint Now);

  std::uint32_t m_OwnTasks = 0;
  std::uint32_t m_ReportedRunning = 0;
  /// Own dispatches that the last report may not include.
  std::uint32_t m_DispatchedSinceReport = 0;
  /// Own dispatches of the current and the previous window; a window lasts for
  /// the flight time of a message.
  std::uint32_t m_WindowDispatches = 0;
  std::uint32_t m_PreviousDispatches = 0;
  TimePoint m_WindowStart{};
  TimePoint m_ReportedAt{};
  TimePoint m_DispatchedAt{};
  /// Number of times that the decay interval is doubled. Invariant: at most
  /// MaxBackoff.
  std::uint32_t m_Backoff = 0;
  bool m_RefusedAsFull = false;
};

} // namespace cyclamencroft
