// Moving mean of run times, of one agent or of a whole service.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class RunTimeMean {
public:
  /// A new sample counts for 1 / \p Weight of the mean.
  explicit RunTimeMean(std::int64_t Weight) : m_Weight(Weight) {}

  void add(Duration RunTime, TimePoint Now) {
    // The first samples form a plain mean, so that one odd first task does not
    // stay in the mean for long.
    if (m_Samples < m_Weight)
      ++m_Samples;
    m_Mean += (RunTime - m_Mean) / m_Samples;
    m_LastSample = Now;
  }

  Duration mean() const { return m_Mean; }
  std::int64_t samples() const { return m_Samples; }
  TimePoint lastSample() const { return m_LastSample; }

private:
  std::int64_t m_Weight;
  /// Invariant: at most m_Weight.
  std::int64_t m_Samples = 0;
  Duration m_Mean{};
  TimePoint m_LastSample{};
};

} // namespace cyclamencroft
