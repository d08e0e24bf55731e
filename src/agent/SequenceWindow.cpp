// Ring buffer of sequence states above a floor that only rises.
#include "agent/SequenceWindow.h"

namespace cyclamencroft {

void SequenceWindow::raiseFloor(Sequence Floor) {
  if (Floor <= m_Floor)
    return;
  if (Floor - m_Floor >= Capacity)
    m_States.fill(DispatchState::Unseen);
  else
    for (Sequence Passed = m_Floor; Passed < Floor; ++Passed)
      at(Passed) = DispatchState::Unseen;
  m_Floor = Floor;
}

Admission SequenceWindow::admit(Sequence Number) {
  if (Number < m_Floor)
    return Admission::BelowFloor;
  if (!contains(Number))
    return Admission::BeyondWindow;
  if (at(Number) != DispatchState::Unseen)
    return Admission::Repeated;
  at(Number) = DispatchState::Waiting;
  return Admission::Admitted;
}

DispatchState SequenceWindow::stateOf(Sequence Number) const {
  if (!contains(Number))
    return DispatchState::Unseen;
  return m_States[Number % Capacity];
}

void SequenceWindow::mark(Sequence Number, DispatchState State) {
  if (contains(Number))
    at(Number) = State;
}

} // namespace cyclamencroft
