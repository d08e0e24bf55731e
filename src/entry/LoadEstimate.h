// What an entry believes about the busy slots of one agent: the running count
// of the agent's last message plus the entry's own dispatches since.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class LoadEstimate {
public:
  /// A message of the agent told that \p Running tasks run there.
  void reported(std::uint32_t Running, TimePoint Now);

  void dispatched(TimePoint Now);

  /// A task of this entry is no longer at the agent.
  void settled();

  /// The agent accepted and ended a task; trials after a stale report may be
  /// made more often again.
  void accepted();

  /// The agent refused a task for lack of room. It counts as full until the
  /// next report or until the report is stale.
  void refusedAsFull(std::uint32_t Slots);

  /// Busy slots as believed at \p Now. \p UsualRunTime is the service's.
  std::uint32_t used(TimePoint Now, Duration UsualRunTime) const;

  /// When used() next decreases without a message.
  TimePoint nextDecrease(TimePoint Now, Duration UsualRunTime) const;

  /// True while the last dispatch, made on a stale report, may still be
  /// refused.
  bool awaitsAnswer(TimePoint Now) const;
  /// When that ends.
  TimePoint answerDue() const;

  /// Tasks of this entry at the agent.
  std::uint32_t own() const { return m_Own; }

  /// Running count of the last message.
  std::uint32_t lastReport() const { return m_Reported; }

  /// True from a refusal for lack of room until the next other message.
  bool isRefusedAsFull() const { return m_RefusedAsFull; }

private:
  Duration staleStep(Duration UsualRunTime) const;
  void rollDispatchWindow(TimePoint Now);

  std::uint32_t m_Own = 0;
  std::uint32_t m_Reported = 0;
  /// Own dispatches that the last report may not include.
  std::uint32_t m_Since = 0;
  /// Own dispatches of the present and of the previous flight window.
  std::uint32_t m_WindowDispatches = 0;
  std::uint32_t m_PreviousDispatches = 0;
  TimePoint m_WindowStart{};
  TimePoint m_ReportedAt{};
  TimePoint m_DispatchedAt{};
  /// Doublings of the time between trials. Invariant: at most MaxBackoff.
  std::uint32_t m_Backoff = 0;
  bool m_RefusedAsFull = false;
};

} // namespace cyclamencroft
