// Run times say it with certainty, but late: a straggler's first slow task ends
// only after its long run. Overdue tasks say it early.
#include "entry/Slowdown.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// A mean over fewer samples says little about an agent.
constexpr std::int64_t SamplesToJudge = 8;
// Run times of one service vary; below this ratio nothing is concluded.
constexpr double NormalRatio = 1.5;
constexpr double MaxRatio = 8.0;
// A straggler gets few tasks; after this time it is tried afresh.
constexpr Duration JudgementAge = std::chrono::seconds(10);
// For exponential run times, four overdue tasks happen by chance in one window
// of fifty (e^-4).
constexpr double OverdueToJudge = 4.0;

double ratioByRunTimes(const RunTimeMean &Own, Duration Usual, TimePoint Now) {
  if (Own.samples() < SamplesToJudge || Usual.count() <= 0)
    return 1.0;
  if (Now - Own.lastSample() > JudgementAge)
    return 1.0;
  return static_cast<double>(Own.mean().count()) /
         static_cast<double>(Usual.count());
}

double ratioByProgress(const EndpointRow &Row, Duration Usual, TimePoint Now) {
  const double Overdue = Row.m_Progress.overdueTasks(Now, Usual);
  if (Overdue < OverdueToJudge)
    return 1.0;
  // An agent that is just judged by its progress counts as a straggler.
  return StragglerRatio * Overdue / OverdueToJudge;
}

} // namespace

double slowdown(const EndpointRow &Row, const ServiceGroup &Service,
                TimePoint Now) {
  const Duration Usual = Service.m_RunTime.mean();
  const double Ratio = std::max(ratioByRunTimes(Row.m_RunTime, Usual, Now),
                                ratioByProgress(Row, Usual, Now));
  return Ratio < NormalRatio ? 1.0 : std::min(Ratio, MaxRatio);
}

} // namespace cyclamencroft
