// Measures how an endpoint does: speed against the estimates of callers, and
// failures. One agent sees the runs of all entries, so it notices a slow or
// failing endpoint after a few runs, and tells every entry.
#pragma once

#include "core/Runs.h"
#include "core/RuntimeClock.h"

#include <boost/core/span.hpp>

#include <cstdint>

namespace cyclamencroft {

/// How long a run has taken so far.
struct RunProgress {
  Duration m_RunTime{};
  Duration m_Estimate{};
};

class EndpointMeter {
public:
  void runDone(TimePoint Now, const RunProgress &Run);
  /// Its run time would have been longer than what it has taken.
  void runStopped(TimePoint Now, const RunProgress &Run);
  void runFailed(TimePoint Now);

  /// \p Running are the runs that are going on: those that have taken longer
  /// than usual for their estimate count as well, so that slowness shows before
  /// slow runs end.
  EndpointQuality quality(TimePoint Now,
                          boost::span<const RunProgress> Running) const;

private:
  std::uint32_t runTimePercent(boost::span<const RunProgress> Running) const;

  /// Notes a sample; true when the ones before are too old to tell anything.
  bool startsAnew(TimePoint Now);

  /// Samples that the means cover.
  static constexpr std::uint32_t Weight = 12;

  /// Geometric, because estimates are far off in both directions and a plain
  /// mean would follow the few longest runs.
  double m_MeanLogRatio = 0;
  double m_FailedShare = 0;
  /// Invariants: at most Weight.
  std::uint32_t m_DoneSamples = 0;
  std::uint32_t m_Samples = 0;
  TimePoint m_LastSample{};
};

} // namespace cyclamencroft
