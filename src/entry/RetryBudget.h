// Bounds the retries of one service to a share of its requests, so that the
// loss of a failure domain does not turn into a retry storm.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class RetryBudget {
public:
  /// Counts a new request, which earns \p Percent hundredths of a retry.
  void requestArrived(std::uint32_t Percent, TimePoint Now);

  /// Takes one retry from the budget; false when none is left.
  bool tryRetry(TimePoint Now);

private:
  /// Adds the minimum that time alone earns.
  void refill(TimePoint Now);

  /// Hundredths of a retry. Invariant: within 0 and the bucket's size.
  std::int64_t m_Balance = 0;
  TimePoint m_LastRefill{};
};

} // namespace cyclamencroft
