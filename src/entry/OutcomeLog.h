// Keeps the log useful under overload: counts refusals and writes one line a
// second for each reason; limits the lines about single failures.
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
  /// Lines about single failures in one period.
  static constexpr std::uint32_t DetailsPerPeriod = 50;
  static constexpr Duration Period = std::chrono::seconds(1);

  void countRefusal(RefusalReason Reason);

  /// True when a line about a single failure may be written; counts it
  /// otherwise.
  bool allowDetail();

  /// True when flush() has something to do.
  bool pending() const { return m_Pending; }

  /// Appends the lines of the period and starts the next one.
  void flush(std::vector<EntryCommand> &Commands);

private:
  static constexpr std::size_t Reasons =
      static_cast<std::size_t>(RefusalReason::RetryBudgetSpent) + 1;

  std::array<std::uint32_t, Reasons> m_Refusals{};
  std::uint32_t m_Details = 0;
  std::uint32_t m_Suppressed = 0;
  bool m_Pending = false;
};

} // namespace cyclamencroft
