// A view includes exactly the requests before its offset, so that two processes
// don't have different views with the same offset.
#include "jobs/EvacuationTracker.h"

#include <algorithm>

namespace cyclamencroft {

void EvacuationTracker::apply(const std::string &Domain, bool Evacuated,
                              std::uint64_t Offset) {
  if (Offset < m_End)
    return;
  Request &Latest = m_Requests[Domain];
  if (Offset >= Latest.m_Offset)
    Latest = {Evacuated, Offset};
}

std::optional<EvacuationView> EvacuationTracker::advance(std::uint64_t End) {
  // The list of newest records may contain later ones, and then lacks those
  // that they replaced. The view follows once reading has reached them.
  const bool Incomplete = std::any_of(
      m_Requests.begin(), m_Requests.end(),
      [End](const auto &Each) { return Each.second.m_Offset >= End; });
  if (End <= m_End || Incomplete)
    return std::nullopt;
  bool Changed = m_End == 0;
  EvacuationView View;
  View.m_Offset = End;
  for (auto Next = m_Requests.begin(); Next != m_Requests.end();) {
    const auto Each = Next++;
    Changed |= Each->second.m_Offset >= m_End;
    if (Each->second.m_Evacuated)
      View.m_Domains.push_back(Each->first);
    else
      m_Requests.erase(Each);
  }
  m_End = End;
  if (!Changed)
    return std::nullopt;
  return View;
}

} // namespace cyclamencroft
