// Tracks the smallest clock offset with an allowance for drift.
#include "agent/DelayEstimate.h"

#include <algorithm>

namespace cyclamencroft {

Duration DelayEstimate::excessDelay(TimePoint Now, TimePoint SentAt) {
  const Duration Offset = Now - SentAt;
  if (!m_SmallestOffset)
    m_SmallestOffset = Offset;
  else
    *m_SmallestOffset += (Now - m_UpdatedAt) * DriftPerMillion / 1000000;
  m_UpdatedAt = Now;
  m_SmallestOffset = std::min(*m_SmallestOffset, Offset);
  return Offset - *m_SmallestOffset;
}

} // namespace cyclamencroft
