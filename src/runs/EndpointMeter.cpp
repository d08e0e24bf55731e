// Moving means over the last runs.
#include "runs/EndpointMeter.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace cyclamencroft {
namespace {

/// Samples before the endpoint is judged.
constexpr std::uint32_t SamplesToJudge = 4;

/// Samples that are older say nothing about the present.
constexpr Duration OldSample = std::chrono::seconds(1);

/// Share of failed runs at which an endpoint counts as bad.
constexpr double BadShare = 0.3;

constexpr double Percent = 100;

/// Logarithm of run time over estimate; nothing when one of them is unknown.
std::optional<double> logRatio(const RunProgress &Run) {
  if (Run.m_Estimate <= Duration{} || Run.m_RunTime <= Duration{})
    return std::nullopt;
  return std::log(static_cast<double>(Run.m_RunTime.count()) /
                  static_cast<double>(Run.m_Estimate.count()));
}

} // namespace

bool EndpointMeter::startsAnew(TimePoint Now) {
  return Now - std::exchange(m_LastSample, Now) > OldSample;
}

void EndpointMeter::runDone(TimePoint Now, const RunProgress &Run) {
  const std::optional<double> Ratio = logRatio(Run);
  if (!Ratio)
    return;
  if (startsAnew(Now)) {
    // One run tells whether an endpoint has recovered.
    m_MeanLogRatio = *Ratio;
    m_DoneSamples = std::min(m_DoneSamples, SamplesToJudge);
    m_FailedShare = 0;
    m_Samples = std::min(m_Samples, SamplesToJudge);
  }
  m_Samples = std::min(m_Samples + 1, Weight);
  m_FailedShare -= m_FailedShare / m_Samples;
  m_DoneSamples = std::min(m_DoneSamples + 1, Weight);
  m_MeanLogRatio += (*Ratio - m_MeanLogRatio) / m_DoneSamples;
}

void EndpointMeter::runStopped(TimePoint Now, const RunProgress &Run) {
  const std::optional<double> Ratio = logRatio(Run);
  if (Ratio && *Ratio > m_MeanLogRatio)
    runDone(Now, Run);
}

void EndpointMeter::runFailed(TimePoint Now) {
  if (startsAnew(Now)) {
    // One failure after a pause confirms a bad endpoint, and says nothing of
    // a good one.
    const bool WasBad = m_FailedShare >= BadShare;
    m_FailedShare = WasBad ? 1 : 0;
    m_Samples = WasBad ? std::min(m_Samples, SamplesToJudge) : 0;
  }
  m_Samples = std::min(m_Samples + 1, Weight);
  m_FailedShare += (1 - m_FailedShare) / m_Samples;
}

std::uint32_t
EndpointMeter::runTimePercent(boost::span<const RunProgress> Running) const {
  std::uint32_t Overdue = 0;
  double Sum = 0;
  for (const RunProgress &Run : Running) {
    const std::optional<double> Ratio = logRatio(Run);
    if (!Ratio || *Ratio <= m_MeanLogRatio || Overdue == Weight)
      continue;
    Sum += *Ratio;
    ++Overdue;
  }
  // They take the place of the oldest samples.
  const std::uint32_t Kept = std::min(m_DoneSamples, Weight - Overdue);
  const std::uint32_t Samples = Kept + Overdue;
  if (Samples < SamplesToJudge)
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
  if (m_Samples >= SamplesToJudge)
    Quality.m_FailedPercent =
        static_cast<std::uint32_t>(std::lround(Percent * m_FailedShare));
  return Quality;
}

} // namespace cyclamencroft
