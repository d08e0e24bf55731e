// Finds agents that fail every task, takes them out of rotation for a growing
// time and readmits them with one task at a time. One object per agent; the
// limit on ejections per service is the endpoint table's.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class OutlierDetector {
public:
  enum class State : std::uint8_t {
    Normal,    ///< Takes work.
    Ejected,   ///< Takes no work until ejectedUntil().
    Readmitted ///< Takes one task at a time.
  };

  void taskSucceeded();
  void taskFailed();

  /// True when the failures call for an ejection.
  bool shouldEject() const;
  void eject(TimePoint Now);

  /// Ends the ejection; also before its time, when too few agents are left.
  void readmit(TimePoint Now);

  State state() const { return m_State; }
  TimePoint ejectedUntil() const { return m_Until; }

private:
  State m_State = State::Normal;
  std::uint32_t m_Failures = 0;
  /// Successes since the readmission.
  std::uint32_t m_Successes = 0;
  /// Doublings of the next ejection.
  std::uint32_t m_Doublings = 0;
  TimePoint m_Until{};
};

} // namespace cyclamencroft
