// Admits each dispatch sequence of one entry incarnation at most once.
#pragma once

#include "core/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamencroft {

/// State of a sequence inside the window.
enum class DispatchState : std::uint8_t {
  Unseen = 0,
  Waiting = 1,  ///< Admitted; in the agent's queue.
  Running = 2,  ///< Started at the endpoint.
  Finished = 3, ///< Ended; the result may be retained.
  Fenced = 4,   ///< Refused or fenced; was not started and never will be.
};

enum class Admission : std::uint8_t {
  Admitted,
  Repeated,     ///< Seen before; stateOf() returns its state.
  BelowFloor,   ///< Settled by the entry; its state is no longer kept.
  BeyondWindow, ///< Too far above the floor to be recorded.
};

class SequenceWindow {
public:
  /// Number of sequences, from the floor on, whose state is kept. Far more than
  /// the slots of an endpoint, so an entry that keeps to its share never
  /// reaches the end.
  static constexpr std::size_t Capacity = 1024;

  /// Discards the state of every sequence below \p Floor. A floor that is not
  /// higher than the current one changes nothing.
  void raiseFloor(Sequence Floor);

  /// Marks \p Number as Waiting when the result is Admitted.
  Admission admit(Sequence Number);

  bool contains(Sequence Number) const {
    return Number >= m_Floor && Number - m_Floor < Capacity;
  }

  /// Unseen for a sequence outside the window.
  DispatchState stateOf(Sequence Number) const;

  /// Does nothing for a sequence outside the window.
  void mark(Sequence Number, DispatchState State);

  Sequence floor() const { return m_Floor; }

private:
  DispatchState &at(Sequence Number) { return m_States[Number % Capacity]; }

  /// Lowest sequence that may still be admitted; never falls.
  Sequence m_Floor = 1;
  /// State of sequence N at index N % Capacity, for N inside the window only.
  std::array<DispatchState, Capacity> m_States{};
};

} // namespace cyclamencroft
