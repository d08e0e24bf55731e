// Estimates by how much a message's transit time exceeds the shortest one from
// the same sender, without synchronised clocks.
#pragma once

#include "core/RuntimeClock.h"

#include <optional>

namespace cyclamencroft {

class DelayEstimate {
public:
  /// Drift allowance in parts per million: two free-running clocks drift apart
  /// by up to about 100 us a second. The smallest offset rises at this rate, so
  /// that drift is not counted as delay.
  static constexpr std::int64_t DriftPerMillion = 100;

  /// Records a message sent at \p SentAt by the sender's clock and received at
  /// \p Now by the local clock. Returns its delay beyond the shortest one so
  /// far, zero for the first message.
  Duration excessDelay(TimePoint Now, TimePoint SentAt);

private:
  /// Smallest difference between receive and send time, raised by the drift
  /// allowance up to m_UpdatedAt; empty before the first message.
  std::optional<Duration> m_SmallestOffset;
  TimePoint m_UpdatedAt{};
};

} // namespace cyclamencroft
