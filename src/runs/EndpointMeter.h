// Measures the quality of an endpoint: its speed relative to the estimates of
// callers, and its share of failed runs. The agent processes the runs of all
// entries, so it detects a slow or failing endpoint after a few runs and
// reports it to every entry.
#pragma once

#include "core/Runs.h"
#include "core/RuntimeClock.h"

#include <boost/core/span.hpp>

#include <cstdint>

namespace cyclamencroft {

/// Time that a run has taken so far, and its estimate; zero when unknown.
struct RunProgress {
  Duration m_RunTime{};
  Duration m_Estimate{};
};

class EndpointMeter {
public:
  /// Records a completed run; ignored when its run time or estimate is unknown.
  void runDone(TimePoint Now, const RunProgress &Run);
  /// Records a run that was stopped before its end. Its full run time would
  /// have been longer, so that it only counts when it already exceeds the
  /// average.
  void runStopped(TimePoint Now, const RunProgress &Run);
  void runFailed(TimePoint Now);

  /// \p Running are the runs in progress. Those that already exceed the average
  /// ratio of run time to estimate are included, so that a slow endpoint is
  /// detected before its slow runs end. Percentages are 0 while there are too
  /// few samples.
  EndpointQuality quality(TimePoint Now,
                          boost::span<const RunProgress> Running) const;

private:
  std::uint32_t runTimePercent(boost::span<const RunProgress> Running) const;

  /// Records the time of a sample; returns true when the earlier samples are
  /// too old to be used.
  bool startsNewWindow(TimePoint Now);

  /// Samples covered by the moving averages.
  static constexpr std::uint32_t MaxSamples = 12;

  /// Geometric mean of run time over estimate, as a logarithm: estimates are
  /// far off in both directions, and an arithmetic mean would be dominated by
  /// the few longest runs.
  double m_MeanLogRatio = 0;
  double m_FailedShare = 0;
  /// Invariants: at most Weight.
  std::uint32_t m_RunTimeSamples = 0;
  std::uint32_t m_OutcomeSamples = 0;
  TimePoint m_LastSample{};
};

} // namespace cyclamencroft
