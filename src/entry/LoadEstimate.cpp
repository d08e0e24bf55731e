// Load estimate with reports that lose weight as they age.
#include "entry/LoadEstimate.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// A report can't include dispatches that were still under way to the agent
// when it was made. Both deployments have round trips below 2 ms.
constexpr Duration FlightTime = std::chrono::milliseconds(2);

// Agents send results only to the entry that owns the task, so an entry without
// tasks at an agent hears nothing of slots that become free. Each step of this
// age frees one believed slot, so that one task at a time tries the agent.
constexpr Duration StaleStep = std::chrono::milliseconds(100);

// Trials at an agent that stays full are wasted messages: each refusal doubles
// the step, up to 1.6 s.
constexpr std::uint32_t MaxBackoff = 4;

} // namespace

void LoadEstimate::reported(std::uint32_t Running, TimePoint Now) {
  rollDispatchWindow(Now);
  m_Reported = Running;
  m_Since = m_WindowDispatches + m_PreviousDispatches;
  m_ReportedAt = Now;
  m_RefusedAsFull = false;
}

void LoadEstimate::dispatched(TimePoint Now) {
  rollDispatchWindow(Now);
  ++m_WindowDispatches;
  ++m_Since;
  ++m_Own;
  m_DispatchedAt = Now;
}

void LoadEstimate::settled() {
  if (m_Own > 0)
    --m_Own;
}

void LoadEstimate::accepted() {
  if (m_Backoff > 0)
    --m_Backoff;
}

void LoadEstimate::refusedAsFull(std::uint32_t Slots) {
  m_Reported = std::max(m_Reported, Slots);
  m_Backoff = std::min(m_Backoff + 1, MaxBackoff);
  m_RefusedAsFull = true;
}

std::uint32_t LoadEstimate::used(TimePoint Now, Duration UsualRunTime) const {
  // Dispatches that are missing in the report are still outstanding.
  const std::uint32_t Believed = m_Reported + std::min(m_Since, m_Own);
  const std::int64_t Steps = (Now - m_ReportedAt) / staleStep(UsualRunTime);
  if (Steps >= Believed)
    return m_Own;
  return std::max(m_Own, Believed - static_cast<std::uint32_t>(Steps));
}

TimePoint LoadEstimate::nextDecrease(TimePoint Now,
                                     Duration UsualRunTime) const {
  if (used(Now, UsualRunTime) <= m_Own)
    return TimePoint::max();
  const Duration Step = staleStep(UsualRunTime);
  return m_ReportedAt + ((Now - m_ReportedAt) / Step + 1) * Step;
}

bool LoadEstimate::awaitsAnswer(TimePoint Now) const {
  const bool Stale = m_DispatchedAt - m_ReportedAt > StaleStep;
  return Stale && Now < answerDue();
}

TimePoint LoadEstimate::answerDue() const {
  return m_DispatchedAt + 2 * FlightTime;
}

Duration LoadEstimate::staleStep(Duration UsualRunTime) const {
  // While own tasks are there, their results will bring a report.
  const Duration Base =
      m_Own > 0 ? std::max(StaleStep, 2 * UsualRunTime) : StaleStep;
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
