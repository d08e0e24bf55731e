// Generates the workload. Run times follow the description of the users: most
// tasks take 50 ms to 1 s, a few take several seconds.
#include "bench/Workload.h"

#include <algorithm>
#include <numeric>
#include <random>

namespace cyclamencroft {
namespace {

using Random = std::mt19937_64;

struct RunTimeBand {
  double m_Share;
  double m_MinMilliseconds;
  double m_MaxMilliseconds;
};

constexpr RunTimeBand RunTimeBands[] = {
    {0.70, 50, 300}, {0.27, 300, 1000}, {0.03, 2000, 4000}};

constexpr double NonIdempotentShare = 0.3;

double meanRunTimeSeconds() {
  double Milliseconds = 0;
  for (const RunTimeBand &Band : RunTimeBands)
    Milliseconds +=
        Band.m_Share * (Band.m_MinMilliseconds + Band.m_MaxMilliseconds) / 2;
  return Milliseconds / 1000;
}

Duration fromMilliseconds(double Milliseconds) {
  return Duration(static_cast<Duration::rep>(Milliseconds * 1000));
}

Duration drawRunTime(Random &Engine) {
  double Pick = std::uniform_real_distribution<>(0, 1)(Engine);
  for (const RunTimeBand &Band : RunTimeBands) {
    if (Pick < Band.m_Share || &Band == std::end(RunTimeBands) - 1)
      return fromMilliseconds(std::uniform_real_distribution<>(
          Band.m_MinMilliseconds, Band.m_MaxMilliseconds)(Engine));
    Pick -= Band.m_Share;
  }
  return {};
}

PlannedCall drawRequest(Random &Engine, Duration At) {
  PlannedCall Call;
  Call.m_At = At;
  Call.m_NonIdempotent =
      std::uniform_real_distribution<>(0, 1)(Engine) < NonIdempotentShare;
  Call.m_RunTimes.push_back(drawRunTime(Engine));
  return Call;
}

PlannedCall drawJob(Random &Engine, Duration At, std::uint32_t Tasks) {
  PlannedCall Call;
  Call.m_At = At;
  Call.m_Job = true;
  for (std::uint32_t I = 0; I < Tasks; ++I)
    Call.m_RunTimes.push_back(drawRunTime(Engine));
  return Call;
}

/// Adds calls drawn by \p Draw that arrive as a Poisson process with \p Rate
/// calls per second.
template <class DrawFn>
void addArrivals(std::vector<PlannedCall> &Plan, Random &Engine,
                 Duration Length, double Rate, DrawFn Draw) {
  if (Rate <= 0)
    return;
  std::exponential_distribution<> Gap(Rate);
  for (double At = Gap(Engine); At * 1e6 < static_cast<double>(Length.count());
       At += Gap(Engine))
    Plan.push_back(Draw(fromMilliseconds(At * 1000)));
}

} // namespace

std::vector<PlannedCall> planWorkload(const WorkloadOptions &Options) {
  Random Engine(Options.m_Seed);
  std::vector<PlannedCall> Plan;
  const double TaskRate =
      Options.m_Load * Options.m_Slots / meanRunTimeSeconds();
  addArrivals(Plan, Engine, Options.m_Length,
              TaskRate * (1 - Options.m_JobShare),
              [&](Duration At) { return drawRequest(Engine, At); });
  addArrivals(
      Plan, Engine, Options.m_Length,
      TaskRate * Options.m_JobShare / Options.m_TasksPerJob,
      [&](Duration At) { return drawJob(Engine, At, Options.m_TasksPerJob); });
  for (std::uint32_t I = 0; I < Options.m_Burst; ++I)
    Plan.push_back(drawRequest(Engine, Options.m_Length / 2));
  std::stable_sort(Plan.begin(), Plan.end(),
                   [](const PlannedCall &A, const PlannedCall &B) {
                     return A.m_At < B.m_At;
                   });
  return Plan;
}

Duration idealResponseTime(const PlannedCall &Call, std::uint32_t Slots) {
  const Duration Longest =
      *std::max_element(Call.m_RunTimes.begin(), Call.m_RunTimes.end());
  const Duration Work = std::accumulate(Call.m_RunTimes.begin(),
                                        Call.m_RunTimes.end(), Duration{});
  return std::max(Longest, Work / Slots);
}

} // namespace cyclamencroft
