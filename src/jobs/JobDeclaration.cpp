// Longest chain of dependent steps of a job.
#include "jobs/JobDeclaration.h"

#include <algorithm>

namespace cyclamencroft {

Duration longestChain(const std::vector<StepDeclaration> &Steps) {
  std::vector<Duration> EndOf(Steps.size());
  Duration Longest{};
  for (std::size_t Number = 0; Number < Steps.size(); ++Number) {
    Duration Start{};
    for (const std::uint32_t Earlier : Steps[Number].m_Dependencies)
      Start = std::max(Start, EndOf[Earlier]);
    EndOf[Number] = Start + Steps[Number].m_Estimate;
    Longest = std::max(Longest, EndOf[Number]);
  }
  return Longest;
}

} // namespace cyclamencroft
