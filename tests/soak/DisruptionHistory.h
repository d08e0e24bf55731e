// Records when each component was disrupted, so that time bounds are checked
// only for undisrupted ones.
#pragma once

#include "core/RuntimeClock.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cyclamencroft::soak {

class DisruptionHistory {
public:
  /// \p Planned: a signal to terminate or to reload. The disruption lasts until
  /// endAll() or endOne().
  void begin(const std::string &Component, TimePoint Now, bool Planned) {
    m_Disruptions[Component].push_back({Now, TimePoint::max(), Planned});
  }

  /// Ends every disturbance of \p Who that is still active.
  void endAll(const std::string &Component, TimePoint Now) {
    for (Disruption &Each : m_Disruptions[Component])
      Each.m_EndedAt = std::min(Each.m_EndedAt, Now);
  }

  /// Ends one active disruption; disruptions may overlap.
  void endOne(const std::string &Component, TimePoint Now) {
    for (Disruption &Each : m_Disruptions[Component])
      if (Each.m_EndedAt == TimePoint::max()) {
        Each.m_EndedAt = Now;
        return;
      }
  }

  /// True when no disruption, planned or not, overlaps the time from \p Before
  /// ahead of \p From to \p Until.
  bool undisrupted(const std::string &Component, TimePoint From,
                   TimePoint Until, Duration Before) const {
    return !any(Component, From - Before, Until, false);
  }

  /// Like undisrupted(), but ignores planned disruptions.
  bool onlyPlanned(const std::string &Component, TimePoint From,
                   TimePoint Until, Duration Before) const {
    return !any(Component, From - Before, Until, true);
  }

private:
  struct Disruption {
    TimePoint m_BeganAt;
    TimePoint m_EndedAt;
    bool m_Planned;
  };

  bool any(const std::string &Component, TimePoint From, TimePoint Until,
           bool UnplannedOnly) const {
    const auto Found = m_Disruptions.find(Component);
    if (Found == m_Disruptions.end())
      return false;
    return std::any_of(Found->second.begin(), Found->second.end(),
                       [&](const Disruption &Each) {
                         return Each.m_BeganAt <= Until &&
                                Each.m_EndedAt >= From &&
                                !(UnplannedOnly && Each.m_Planned);
                       });
  }

  std::map<std::string, std::vector<Disruption>> m_Disruptions;
};

} // namespace cyclamencroft::soak
