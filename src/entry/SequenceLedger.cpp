// Ring buffer of outstanding sequences, which grows with their range.
#include "entry/SequenceLedger.h"

#include <utility>

namespace cyclamencroft {
namespace {

constexpr std::size_t InitialSlots = 16;

} // namespace

Sequence SequenceLedger::assign(std::uint32_t Attempt) {
  if (m_Next - m_Floor >= m_Slots.size())
    grow();
  slot(m_Next) = Attempt;
  ++m_Outstanding;
  return m_Next++;
}

std::uint32_t SequenceLedger::find(Sequence Number) const {
  if (Number < m_Floor || Number >= m_Next)
    return NoIndex;
  return slot(Number);
}

void SequenceLedger::settle(Sequence Number) {
  if (find(Number) == NoIndex)
    return;
  slot(Number) = NoIndex;
  --m_Outstanding;
  while (m_Floor < m_Next && slot(m_Floor) == NoIndex)
    ++m_Floor;
}

std::vector<Sequence> SequenceLedger::outstandingSequences() const {
  std::vector<Sequence> Result;
  Result.reserve(m_Outstanding);
  for (Sequence Number = m_Floor; Number < m_Next; ++Number)
    if (slot(Number) != NoIndex)
      Result.push_back(Number);
  return Result;
}

void SequenceLedger::restart() {
  m_Floor = 1;
  m_Next = 1;
}

std::uint32_t &SequenceLedger::slot(Sequence Number) {
  return m_Slots[Number & (m_Slots.size() - 1)];
}

std::uint32_t SequenceLedger::slot(Sequence Number) const {
  return m_Slots[Number & (m_Slots.size() - 1)];
}

void SequenceLedger::grow() {
  const std::vector<std::uint32_t> Old = std::move(m_Slots);
  const std::size_t Size = Old.empty() ? InitialSlots : 2 * Old.size();
  m_Slots.assign(Size, NoIndex);
  for (Sequence Number = m_Floor; Number < m_Next; ++Number)
    slot(Number) = Old[Number & (Old.size() - 1)];
}

} // namespace cyclamencroft
