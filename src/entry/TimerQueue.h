// Priority queue of the timers of the entry core, ordered by due time. Adding,
// cancelling and taking the first timer take O(log n); cancelled timers are
// removed at once.
#pragma once

#include "core/RuntimeClock.h"
#include "entry/Slab.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamencroft {

/// Purpose of a timer; its target is an index of the matching table.
enum class TimerKind : std::uint8_t {
  Deadline,        ///< Submission's deadline.
  Hedge,           ///< Submission may get a second attempt.
  Orphan,          ///< Attempt whose submission was answered is abandoned.
  Grace,           ///< Agent's link has been lost for the grace period.
  LivenessCheck,   ///< Liveness check of an agent with outstanding tasks.
  AgentIdle,       ///< Agent's link may need a heartbeat.
  PeerIdle,        ///< Peer's link may need a heartbeat.
  QuotaReport,     ///< Report of demand to the peers.
  ConfigOverdue,   ///< An announced higher version was not adopted in time.
  OutcomeLogFlush, ///< OutcomeLog is flushed.
};

using TimerId = std::uint32_t;
constexpr TimerId NoTimer = NoIndex;

struct Timer {
  TimePoint m_Due{};
  TimerKind m_Kind{};
  std::uint32_t m_Target = 0;
};

class TimerQueue {
public:
  TimerId add(TimePoint Due, TimerKind Kind, std::uint32_t Target = 0);

  /// Cancels the timer and clears \p Id; does nothing for NoTimer.
  void cancel(TimerId &Id);

  /// Due time of the first timer; TimePoint::max() when there is none.
  TimePoint nextDue() const;

  /// Removes and returns the first timer that is due at \p Now; empty when none
  /// is due. Timers with the same due time are returned in the order of their
  /// addition.
  std::optional<Timer> takeDue(TimePoint Now);

  std::size_t size() const { return m_Heap.size(); }

private:
  /// Timer with its order of addition and its position in the heap.
  struct QueuedTimer {
    Timer m_Timer;
    std::uint64_t m_Order = 0;
    std::uint32_t m_Position = 0;
  };

  bool before(std::uint32_t A, std::uint32_t B) const;
  void place(std::uint32_t Position, TimerId Id);
  void siftUp(std::uint32_t Position);
  void siftDown(std::uint32_t Position);
  void removeAt(std::uint32_t Position);

  Slab<QueuedTimer> m_Queued;
  // Invariant: binary heap; m_Queued[m_Heap[P]].m_Position is P.
  std::vector<TimerId> m_Heap;
  std::uint64_t m_NextOrder = 0;
};

} // namespace cyclamencroft
