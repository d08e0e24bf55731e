// Assigns sequence numbers to the dispatches to one agent and records which of
// them are outstanding. The agent accepts each number once, so a number is
// never reused within one window of the agent.
#pragma once

#include "core/Ids.h"
#include "entry/Slab.h"

#include <cstdint>
#include <vector>

namespace cyclamencroft {

class SequenceLedger {
public:
  /// Maximum distance from the floor to the next sequence; the size of the
  /// agent's window.
  static constexpr std::uint32_t MaxSpan = 1024;

  /// Lowest outstanding sequence; equal to next() when none is outstanding.
  Sequence floor() const { return m_Floor; }
  Sequence next() const { return m_Next; }
  /// Number of assigned sequences that are not settled.
  std::uint32_t outstanding() const { return m_Outstanding; }

  /// True when another sequence would exceed MaxSpan.
  bool full() const { return m_Next - m_Floor >= MaxSpan; }

  /// Assigns the next sequence to an attempt. Must not be called when full().
  Sequence assign(std::uint32_t Attempt);

  /// Attempt of an outstanding sequence; NoIndex for settled or unused ones.
  std::uint32_t find(Sequence Number) const;

  /// Marks a sequence as settled; does nothing when it is not outstanding.
  void settle(Sequence Number);

  /// Outstanding sequences in ascending order.
  std::vector<Sequence> outstandingSequences() const;

  /// Resets the sequence to 1. Only for an agent incarnation that has not
  /// received a sequence from this entry. Must not be called while sequences
  /// are outstanding.
  void restart();

private:
  std::uint32_t &slot(Sequence Number);
  std::uint32_t slot(Sequence Number) const;
  void grow();

  Sequence m_Floor = 1;
  // Invariant: m_Floor <= m_Next <= m_Floor + MaxSpan.
  Sequence m_Next = 1;
  std::uint32_t m_Outstanding = 0;
  // Ring buffer: the attempt of sequence N is at N modulo the size, which is
  // zero before the first use, then a power of two that is at least m_Next -
  // m_Floor. Starts small, because most agents have few slots.
  std::vector<std::uint32_t> m_Slots;
};

} // namespace cyclamencroft
