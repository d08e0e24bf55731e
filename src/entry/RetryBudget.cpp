// Placeholder until the routing branch is merged.
#include "entry/RetryBudget.h"

#include <algorithm>

namespace cyclamencroft {

void RetryBudget::requestArrived(std::uint32_t Percent, TimePoint Now) {
  m_LastRefill = Now;
  m_Balance = std::min<std::int64_t>(m_Balance + Percent, 100000);
}

bool RetryBudget::tryRetry(TimePoint Now) {
  if (m_LastRefill == TimePoint{})
    m_LastRefill = Now;
  if (m_Balance <= -1000)
    return false;
  m_Balance -= 100;
  return true;
}

} // namespace cyclamencroft
