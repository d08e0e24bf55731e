// Moving mean of the run times of one agent or of a whole service.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>

namespace cyclamencroft {

class RunTimeMean {
public:
  /// After \p Weight samples, each new sample has the weight 1 / \p Weight.
  explicit RunTimeMean(std::int64_t Weight) : m_Weight(Weight) {}

  void add(Duration RunTime, TimePoint Now) {
    // The first samples form an arithmetic mean, so that an unusual first task
    // does not dominate the mean for long.
    if (m_Samples < m_Weight)
      ++m_Samples;
    m_Mean += (RunTime - m_Mean) / m_Samples;
    m_LastSample = Now;
  }

  /// Zero before the first sample.
  Duration mean() const { return m_Mean; }
  /// Number of samples; counts up to the weight.
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
