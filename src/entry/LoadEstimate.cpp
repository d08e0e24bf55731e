// Load estimate in which reports decay with age.
#include "entry/LoadEstimate.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// A report cannot include dispatches that were still in flight to the agent
// when it was made. Both deployments have round trips below 2 ms.
constexpr Duration FlightTime = std::chrono::milliseconds(2);

// Agents send results only to the entry that owns the task, so an entry without
// tasks at an agent gets no message when slots become free. After each interval
// without a report the estimate decreases by one slot, so that one task at a
// time is sent to the agent as a trial.
constexpr Duration DecayInterval = std::chrono::milliseconds(100);

// Trials at an agent that stays full waste messages, so each refusal doubles
// the decay interval, up to 1.6 s.
constexpr std::uint32_t MaxBackoff = 4;

} // namespace

void LoadEstimate::reported(std::uint32_t Running, TimePoint Now) {
  rollDispatchWindow(Now);
  m_ReportedRunning = Running;
  m_DispatchedSinceReport = m_WindowDispatches + m_PreviousDispatches;
  m_ReportedAt = Now;
  m_RefusedAsFull = false;
}

void LoadEstimate::dispatched(TimePoint Now) {
  rollDispatchWindow(Now);
  ++m_WindowDispatches;
  ++m_DispatchedSinceReport;
  ++m_OwnTasks;
  m_DispatchedAt = Now;
}

void LoadEstimate::settled() {
  if (m_OwnTasks > 0)
    --m_OwnTasks;
}

void LoadEstimate::accepted() {
  if (m_Backoff > 0)
    --m_Backoff;
}

void LoadEstimate::refusedAsFull(std::uint32_t Slots) {
  m_ReportedRunning = std::max(m_ReportedRunning, Slots);
  m_Backoff = std::min(m_Backoff + 1, MaxBackoff);
  m_RefusedAsFull = true;
}

std::uint32_t LoadEstimate::busySlots(TimePoint Now,
                                      Duration MeanRunTime) const {
  // Dispatches that the report does not include are still outstanding.
  const std::uint32_t Estimated =
      m_ReportedRunning + std::min(m_DispatchedSinceReport, m_OwnTasks);
  const std::int64_t Intervals =
      (Now - m_ReportedAt) / decayInterval(MeanRunTime);
  if (Intervals >= Estimated)
    return m_OwnTasks;
  return std::max(m_OwnTasks,
                  Estimated - static_cast<std::uint32_t>(Intervals));
}

TimePoint LoadEstimate::nextDecrease(TimePoint Now,
                                     Duration MeanRunTime) const {
  if (busySlots(Now, MeanRunTime) <= m_OwnTasks)
    return TimePoint::max();
  const Duration Interval = decayInterval(MeanRunTime);
  return m_ReportedAt + ((Now - m_ReportedAt) / Interval + 1) * Interval;
}

bool LoadEstimate::isWithinRefusalWindow(TimePoint Now) const {
  const bool Stale = m_DispatchedAt - m_ReportedAt > DecayInterval;
  return Stale && Now < refusalWindowEnd();
}

TimePoint LoadEstimate::refusalWindowEnd() const {
  return m_DispatchedAt + 2 * FlightTime;
}

Duration LoadEstimate::decayInterval(Duration MeanRunTime) const {
  // While own tasks are outstanding at the agent, their results carry reports.
  const Duration Base =
      m_OwnTasks > 0 ? std::max(DecayInterval, 2 * MeanRunTime) : DecayInterval;
  return Base * (1 << m_Backoff);
}

void LoadEstimate::rollDispatchWindow(TimePoint Now) {
  const Duration Age = Now - m_WindowStart;
  if (Age < FlightTime)
    return;
  m_PreviousDispatches = Age < 2 * FlightTime ? m_WindowDispatches : 0;
  m_WindowDispatches = 0;
  m_WindowStart = Now;
}

} // namespace cyclamencroft
