// Moving averages of run time and failures over the latest runs.
#include "runs/EndpointMeter.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace cyclamencroft {
namespace {

/// Samples that are needed before a quality is reported.
constexpr std::uint32_t MinSamples = 4;

/// After a longer gap between samples, the earlier ones no longer describe the
/// present state of the endpoint.
constexpr Duration MaxSampleGap = std::chrono::seconds(1);

/// Share of failed runs from which an endpoint counts as unhealthy.
constexpr double UnhealthyFailureShare = 0.3;

constexpr double Percent = 100;

/// Logarithm of run time over estimate; nullopt when one of them is unknown.
std::optional<double> logRatio(const RunProgress &Run) {
  if (Run.m_Estimate <= Duration{} || Run.m_RunTime <= Duration{})
    return std::nullopt;
  return std::log(static_cast<double>(Run.m_RunTime.count()) /
                  static_cast<double>(Run.m_Estimate.count()));
}

} // namespace

bool EndpointMeter::startsNewWindow(TimePoint Now) {
  return Now - std::exchange(m_LastSample, Now) > MaxSampleGap;
}

void EndpointMeter::runDone(TimePoint Now, const RunProgress &Run) {
  const std::optional<double> Ratio = logRatio(Run);
  if (!Ratio)
    return;
  if (startsNewWindow(Now)) {
    // After a pause a single run is enough to detect that the endpoint has
    // recovered.
    m_MeanLogRatio = *Ratio;
    m_RunTimeSamples = std::min(m_RunTimeSamples, MinSamples);
    m_FailedShare = 0;
    m_OutcomeSamples = std::min(m_OutcomeSamples, MinSamples);
  }
  m_OutcomeSamples = std::min(m_OutcomeSamples + 1, MaxSamples);
  m_FailedShare -= m_FailedShare / m_OutcomeSamples;
  m_RunTimeSamples = std::min(m_RunTimeSamples + 1, MaxSamples);
  m_MeanLogRatio += (*Ratio - m_MeanLogRatio) / m_RunTimeSamples;
}

void EndpointMeter::runStopped(TimePoint Now, const RunProgress &Run) {
  const std::optional<double> Ratio = logRatio(Run);
  if (Ratio && *Ratio > m_MeanLogRatio)
    runDone(Now, Run);
}

void EndpointMeter::runFailed(TimePoint Now) {
  if (startsNewWindow(Now)) {
    // One failure after a pause confirms an unhealthy endpoint, but is no
    // evidence against a healthy one.
    const bool WasUnhealthy = m_FailedShare >= UnhealthyFailureShare;
    m_FailedShare = WasUnhealthy ? 1 : 0;
    m_OutcomeSamples =
        WasUnhealthy ? std::min(m_OutcomeSamples, MinSamples) : 0;
  }
  m_OutcomeSamples = std::min(m_OutcomeSamples + 1, MaxSamples);
  m_FailedShare += (1 - m_FailedShare) / m_OutcomeSamples;
}

std::uint32_t
EndpointMeter::runTimePercent(boost::span<const RunProgress> Running) const {
  std::uint32_t Overdue = 0;
  double Sum = 0;
  for (const RunProgress &Run : Running) {
    const std::optional<double> Ratio = logRatio(Run);
    if (!Ratio || *Ratio <= m_MeanLogRatio || Overdue == MaxSamples)
      continue;
    Sum += *Ratio;
    ++Overdue;
  }
  // Overdue runs replace the oldest samples of the average.
  const std::uint32_t Kept = std::min(m_RunTimeSamples, MaxSamples - Overdue);
  const std::uint32_t Samples = Kept + Overdue;
  if (Samples < MinSamples)
    return 0;
  Sum += Kept * m_MeanLogRatio;
  return static_cast<std::uint32_t>(
      std::lround(Percent * std::exp(Sum / Samples)));
}

EndpointQuality
EndpointMeter::quality(TimePoint Now,
                       boost::span<const RunProgress> Running) const {
  EndpointQuality Quality;
  Quality.m_SampleAge = Now - std::min(Now, m_LastSample);
  Quality.m_RunTimePercent = runTimePercent(Running);
  if (m_OutcomeSamples >= MinSamples)
    Quality.m_FailedPercent =
        static_cast<std::uint32_t>(std::lround(Percent * m_FailedShare));
  return Quality;
}

} // namespace cyclamencroft
