// Token bucket of one team at one entry.
#pragma once

#include "core/RuntimeClock.h"

namespace cyclamencroft {

class TeamBucket {
public:
  /// Sets the rate of starts, per second, that this entry may grant. The first
  /// call fills the bucket.
  void setRate(double StartsPerSecond, TimePoint Now);

  /// Takes \p Tasks starts, all or none; returns false when they are not
  /// available. A full bucket grants more starts than it holds, so that its
  /// balance becomes negative; otherwise a job larger than the bucket could
  /// never start.
  bool tryTake(std::uint32_t Tasks, TimePoint Now);

private:
  void refill(TimePoint Now);
  double size() const;

  /// Starts a second.
  double m_Rate = 0;
  /// Starts that may be granted now; negative after a job larger than the
  /// bucket, until refills make up for it. Invariant: at most size().
  double m_Tokens = 0;
  TimePoint m_RefilledAt{};
  /// True after the first setRate().
  bool m_Filled = false;
};

} // namespace cyclamencroft
