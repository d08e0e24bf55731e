// Limits the retries of one service to a share of its requests, so that the
// loss of a failure domain does not cause a retry storm.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class RetryBudget {
public:
  /// Counts a new request, which adds \p Percent hundredths of a retry.
  void requestArrived(std::uint32_t Percent, TimePoint Now);

  /// Takes one retry from the budget; returns false when none is available.
  bool tryRetry(TimePoint Now);

private:
  /// Adds the minimum rate of retries, which does not depend on requests.
  void refill(TimePoint Now);

  /// Available budget in hundredths of a retry. Invariant: between 0 and the
  /// bucket's size.
  std::int64_t m_Balance = 0;
  /// Time up to which the minimum rate has been added.
  TimePoint m_LastRefill{};
};

} // namespace cyclamencroft
