// Configurations of a session: the same document under changing presets, one
// version a publication.
#pragma once

#include "config/Configuration.h"

#include <string>
#include <vector>

namespace cyclamencroft::session {

class SessionConfig {
public:
  explicit SessionConfig(std::vector<std::string> FailureDomains)
      : m_FailureDomains(std::move(FailureDomains)) {}

  /// Adds a version whose preset is \p Preset: "ordinary", "peak",
  /// "maintenance", "queue", "random" or "drain-" and a failure domain.
  ConfigStatePtr publish(const std::string &Preset);

  /// Null for a version that was never published.
  ConfigStatePtr find(ConfigVersion Version) const;
  ConfigVersion newest() const { return m_States.size(); }

private:
  Configuration document() const;

  std::vector<std::string> m_FailureDomains;
  /// Version N at index N - 1.
  std::vector<ConfigStatePtr> m_States;
};

} // namespace cyclamencroft::session
