// Outlier ejection: takes an agent that fails every task out of rotation for
// increasing periods and readmits it with one task at a time. One object per
// agent; the endpoint table applies the limit on ejections per service.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class OutlierDetector {
public:
  enum class State : std::uint8_t {
    Normal,    ///< In rotation.
    Ejected,   ///< Gets no tasks until ejectedUntil().
    Readmitted ///< Gets one task at a time.
  };

  void taskSucceeded();
  void taskFailed();

  /// True when the agent has failed enough consecutive tasks to be ejected.
  bool shouldEject() const;
  void eject(TimePoint Now);

  /// Ends the ejection, also early when too few agents remain.
  void readmit(TimePoint Now);

  State state() const { return m_State; }
  /// End of the current or last ejection; zero when there was none.
  TimePoint ejectedUntil() const { return m_EjectedUntil; }

private:
  State m_State = State::Normal;
  /// Consecutive failures.
  std::uint32_t m_Failures = 0;
  /// Consecutive successes since the readmission.
  std::uint32_t m_Successes = 0;
  /// Number of times that the next ejection period is doubled.
  std::uint32_t m_Doublings = 0;
  TimePoint m_EjectedUntil{};
};

} // namespace cyclamencroft
