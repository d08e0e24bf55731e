// Limits the rate of log lines about refusals and failures, so that the log
// stays readable under overload: refusals are counted and logged as one line a
// second for each reason, lines about single failures are limited in number.
#pragma once

#include "core/Outcome.h"
#include "core/RuntimeClock.h"
#include "entry/EntryEvents.h"

#include <array>
#include <cstdint>
#include <vector>

namespace cyclamencroft {

class OutcomeLog {
public:
  /// Maximum number of lines about single failures in one period.
  static constexpr std::uint32_t DetailsPerPeriod = 50;
  static constexpr Duration Period = std::chrono::seconds(1);

  void countRefusal(RefusalReason Reason);

  /// True when a line about a single failure may be written; counts the line as
  /// suppressed otherwise.
  bool allowDetail();

  /// True when something was counted since the last flush().
  bool pending() const { return m_Pending; }

  /// Appends the log lines of the period and resets all counters.
  void flush(std::vector<EntryCommand> &Commands);

private:
  static constexpr std::size_t Reasons =
      static_cast<std::size_t>(RefusalReason::RetryBudgetSpent) + 1;

  // Refusals in this period, indexed by RefusalReason.
  std::array<std::uint32_t, Reasons> m_Refusals{};
  std::uint32_t m_Details = 0;
  std::uint32_t m_Suppressed = 0;
  bool m_Pending = false;
};

} // namespace cyclamencroft
