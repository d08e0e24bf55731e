// Estimates the slowdown of an agent. Run times are a reliable measure, but a
// late one: a straggler's first slow task ends only after its long run. Overdue
// tasks detect a straggler early.
#include "entry/Slowdown.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// A mean over fewer samples is not significant.
constexpr std::int64_t MinSamples = 8;
// Run times of one service vary; a ratio below this counts as normal.
constexpr double NormalRatio = 1.5;
constexpr double MaxRatio = 8.0;
// A straggler gets few tasks, so its mean is rarely updated. After this time
// without a sample the mean is ignored, and the agent gets tasks again.
constexpr Duration MaxSampleAge = std::chrono::seconds(10);
// With exponentially distributed run times, four overdue tasks occur by chance
// in one of fifty windows (e^-4).
constexpr double MinOverdueTasks = 4.0;

double ratioByRunTimes(const RunTimeMean &Own, Duration MeanRunTime,
                       TimePoint Now) {
  if (Own.samples() < MinSamples || MeanRunTime.count() <= 0)
    return 1.0;
  if (Now - Own.lastSample() > MaxSampleAge)
    return 1.0;
  return static_cast<double>(Own.mean().count()) /
         static_cast<double>(MeanRunTime.count());
}

double ratioByProgress(const EndpointRow &Row, Duration MeanRunTime,
                       TimePoint Now) {
  const double Overdue = Row.m_Progress.overdueTasks(Now, MeanRunTime);
  if (Overdue < MinOverdueTasks)
    return 1.0;
  // An agent with exactly MinOverdueTasks overdue tasks counts as a straggler.
  return StragglerRatio * Overdue / MinOverdueTasks;
}

} // namespace

double slowdown(const EndpointRow &Row, const ServiceGroup &Service,
                TimePoint Now) {
  const Duration MeanRunTime = Service.m_RunTime.mean();
  const double Ratio =
      std::max(ratioByRunTimes(Row.m_RunTime, MeanRunTime, Now),
               ratioByProgress(Row, MeanRunTime, Now));
  return Ratio < NormalRatio ? 1.0 : std::min(Ratio, MaxRatio);
}

} // namespace cyclamencroft
