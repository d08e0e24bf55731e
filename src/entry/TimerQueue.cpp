// Binary heap of timers; each timer holds its position, so that it can be
// removed.
#include "entry/TimerQueue.h"

#include <utility>

namespace cyclamencroft {

TimerId TimerQueue::add(TimePoint Due, TimerKind Kind, std::uint32_t Target) {
  const TimerId Id = m_Queued.add();
  QueuedTimer &Added = m_Queued[Id];
  Added.m_Timer = Timer{Due, Kind, Target};
  Added.m_Order = m_NextOrder++;
  m_Heap.push_back(Id);
  const auto Position = static_cast<std::uint32_t>(m_Heap.size() - 1);
  Added.m_Position = Position;
  siftUp(Position);
  return Id;
}

void TimerQueue::cancel(TimerId &Id) {
  if (Id == NoTimer)
    return;
  removeAt(m_Queued[Id].m_Position);
  Id = NoTimer;
}

TimePoint TimerQueue::nextDue() const {
  return m_Heap.empty() ? TimePoint::max() : m_Queued[m_Heap[0]].m_Timer.m_Due;
}

std::optional<Timer> TimerQueue::takeDue(TimePoint Now) {
  if (nextDue() > Now || m_Heap.empty())
    return std::nullopt;
  const Timer First = m_Queued[m_Heap[0]].m_Timer;
  removeAt(0);
  return First;
}

bool TimerQueue::before(std::uint32_t A, std::uint32_t B) const {
  const QueuedTimer &Left = m_Queued[m_Heap[A]];
  const QueuedTimer &Right = m_Queued[m_Heap[B]];
  if (Left.m_Timer.m_Due != Right.m_Timer.m_Due)
    return Left.m_Timer.m_Due < Right.m_Timer.m_Due;
  return Left.m_Order < Right.m_Order;
}

void TimerQueue::place(std::uint32_t Position, TimerId Id) {
  m_Heap[Position] = Id;
  m_Queued[Id].m_Position = Position;
}

void TimerQueue::siftUp(std::uint32_t Position) {
  while (Position > 0) {
    const std::uint32_t Parent = (Position - 1) / 2;
    if (!before(Position, Parent))
      return;
    const TimerId Moved = m_Heap[Position];
    place(Position, m_Heap[Parent]);
    place(Parent, Moved);
    Position = Parent;
  }
}

void TimerQueue::siftDown(std::uint32_t Position) {
  const auto Count = static_cast<std::uint32_t>(m_Heap.size());
  for (;;) {
    std::uint32_t First = Position;
    for (const std::uint32_t Child : {2 * Position + 1, 2 * Position + 2})
      if (Child < Count && before(Child, First))
        First = Child;
    if (First == Position)
      return;
    const TimerId Moved = m_Heap[Position];
    place(Position, m_Heap[First]);
    place(First, Moved);
    Position = First;
  }
}

void TimerQueue::removeAt(std::uint32_t Position) {
  m_Queued.remove(m_Heap[Position]);
  const TimerId Last = m_Heap.back();
  m_Heap.pop_back();
  if (Position == m_Heap.size())
    return;
  place(Position, Last);
  siftUp(Position);
  siftDown(m_Queued[Last].m_Position);
}

} // namespace cyclamencroft
