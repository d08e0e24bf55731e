// Tells how long a message was under way beyond the shortest delay seen from
// the same sender, without synchronised clocks.
#pragma once

#include "core/RuntimeClock.h"

#include <optional>

namespace cyclamencroft {

class DelayEstimate {
public:
  /// Two free-running clocks drift apart by up to about 100 us a second. The
  /// smallest offset rises at this rate, so that drift is not taken for delay.
  static constexpr std::int64_t DriftPerMillion = 100;

  /// Takes in a message sent at \p SentAt by the sender's clock and received
  /// at \p Now by ours; returns its delay beyond the shortest one seen.
  Duration excess(TimePoint Now, TimePoint SentAt);

private:
  /// Smallest difference of clocks seen, raised by drift up to m_SeenAt.
  std::optional<Duration> m_Smallest;
  TimePoint m_SeenAt{};
};

} // namespace cyclamencroft
