// Counts refusals and failures and formats the log lines of a period.
#include "entry/OutcomeLog.h"

namespace cyclamencroft {

void OutcomeLog::countRefusal(RefusalReason Reason) {
  ++m_Refusals[static_cast<std::size_t>(Reason)];
  m_Pending = true;
}

bool OutcomeLog::allowDetail() {
  m_Pending = true;
  if (m_Details < DetailsPerPeriod) {
    ++m_Details;
    return true;
  }
  ++m_Suppressed;
  return false;
}

void OutcomeLog::flush(std::vector<EntryCommand> &Commands) {
  for (std::size_t Index = 0; Index < Reasons; ++Index) {
    if (m_Refusals[Index] == 0)
      continue;
    const auto Reason = static_cast<RefusalReason>(Index);
    Commands.emplace_back(
        LogDecision{"work-refused",
                    {{"reason", std::string(toString(Reason))},
                     {"count", std::to_string(m_Refusals[Index])}}});
  }
  if (m_Suppressed > 0)
    Commands.emplace_back(LogDecision{
        "lines-suppressed", {{"count", std::to_string(m_Suppressed)}}});
  *this = OutcomeLog();
}

} // namespace cyclamencroft
