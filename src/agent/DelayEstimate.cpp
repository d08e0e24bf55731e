// Smallest clock offset with an allowance for drift.
#include "agent/DelayEstimate.h"

#include <algorithm>

namespace cyclamencroft {

Duration DelayEstimate::excess(TimePoint Now, TimePoint SentAt) {
  const Duration Offset = Now - SentAt;
  if (!m_Smallest)
    m_Smallest = Offset;
  else
    *m_Smallest += (Now - m_SeenAt) * DriftPerMillion / 1000000;
  m_SeenAt = Now;
  m_Smallest = std::min(*m_Smallest, Offset);
  return Offset - *m_Smallest;
}

} // namespace cyclamencroft
