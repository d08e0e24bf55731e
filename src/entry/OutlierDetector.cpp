// Ejection after consecutive failures.
#include "entry/OutlierDetector.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// Single failures are normal; five consecutive ones are not at usual error
// rates.
constexpr std::uint32_t FailuresToEject = 5;
constexpr std::uint32_t SuccessesToRecover = 5;
constexpr Duration FirstEjection = std::chrono::seconds(5);
constexpr Duration MaxEjection = std::chrono::seconds(60);
constexpr std::uint32_t MaxDoublings = 4;

} // namespace

void OutlierDetector::taskSucceeded() {
  m_Failures = 0;
  if (m_State != State::Readmitted)
    return;
  if (++m_Successes >= SuccessesToRecover)
    m_State = State::Normal;
}

void OutlierDetector::taskFailed() {
  ++m_Failures;
  m_Successes = 0;
}

bool OutlierDetector::shouldEject() const {
  if (m_State == State::Ejected)
    return false;
  const std::uint32_t Limit =
      m_State == State::Readmitted ? 1 : FailuresToEject;
  return m_Failures >= Limit;
}

void OutlierDetector::eject(TimePoint Now) {
  // An agent that was not ejected for the longest ejection period starts again
  // with the first period.
  if (Now - m_EjectedUntil > MaxEjection)
    m_Doublings = 0;
  const Duration Length =
      std::min(MaxEjection, FirstEjection * (1 << m_Doublings));
  m_Doublings = std::min(m_Doublings + 1, MaxDoublings);
  m_EjectedUntil = Now + Length;
  m_State = State::Ejected;
}

void OutlierDetector::readmit(TimePoint Now) {
  m_EjectedUntil = std::min(m_EjectedUntil, Now);
  m_State = State::Readmitted;
  m_Failures = 0;
  m_Successes = 0;
}

} // namespace cyclamencroft
