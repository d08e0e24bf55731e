// Token bucket of one team at one entry.
#pragma once

#include "core/RuntimeClock.h"

namespace cyclamencroft {

class TeamBucket {
public:
  /// Sets the starts a second that this entry may grant. The first call fills
  /// the bucket.
  void setRate(double StartsPerSecond, TimePoint Now);

  /// Takes \p Tasks starts, all or none. A full bucket grants more than it
  /// holds and owes the rest, since otherwise a job larger than the bucket
  /// could never start.
  bool tryTake(std::uint32_t Tasks, TimePoint Now);

private:
  void refill(TimePoint Now);
  double size() const;

  double m_Rate = 0;
  /// Starts that may be granted now; negative while a job is being paid off.
  /// Invariant: at most size().
  double m_Tokens = 0;
  TimePoint m_RefilledAt{};
  bool m_Filled = false;
};

} // namespace cyclamencroft
