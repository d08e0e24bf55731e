// Numbers the dispatches to one agent and remembers which of them are not
// settled. The agent admits each number once, so a number is never reused
// within one window of the agent.
#pragma once

#include "core/Ids.h"
#include "entry/Slab.h"

#include <cstdint>
#include <vector>

namespace cyclamencroft {

class SequenceLedger {
public:
  /// Sequences between floor and newest; the size of the agent's window.
  static constexpr std::uint32_t MaxSpan = 1024;

  /// Lowest sequence that is not settled; one above the newest when all are.
  Sequence floor() const { return m_Floor; }
  Sequence next() const { return m_Next; }
  std::uint32_t outstanding() const { return m_Outstanding; }

  /// True when another sequence would exceed MaxSpan.
  bool full() const { return m_Next - m_Floor >= MaxSpan; }

  /// Gives the next number to an attempt. Not to be called when full.
  Sequence assign(std::uint32_t Attempt);

  /// Attempt of an outstanding sequence; NoIndex for settled or unused ones.
  std::uint32_t find(Sequence Number) const;

  /// Marks a sequence as settled; does nothing when it is not outstanding.
  void settle(Sequence Number);

  /// Outstanding sequences in ascending order.
  std::vector<Sequence> list() const;

  /// Starts again at 1. Only for an agent incarnation that has not seen a
  /// sequence of this entry. Not to be called with outstanding sequences.
  void restart();

private:
  std::uint32_t &slot(Sequence Number);
  std::uint32_t slot(Sequence Number) const;
  void grow();

  Sequence m_Floor = 1;
  // Invariant: m_Floor <= m_Next <= m_Floor + MaxSpan.
  Sequence m_Next = 1;
  std::uint32_t m_Outstanding = 0;
  // Attempt of sequence N at N modulo the size, a power of two that exceeds
  // m_Next - m_Floor. Starts small: most agents have a few slots.
  std::vector<std::uint32_t> m_Slots;
};

} // namespace cyclamencroft
