// Configuration versions of a session. All have the same document and differ in
// the active preset.
#pragma once

#include "config/Configuration.h"

#include <string>
#include <vector>

namespace cyclamencroft::session {

class SessionConfig {
public:
  explicit SessionConfig(std::vector<std::string> FailureDomains)
      : m_FailureDomains(std::move(FailureDomains)) {}

  /// Adds a version whose active preset is \p PresetName: "ordinary", "peak",
  /// "maintenance", "queue", "random" or "drain-" and a failure domain.
  ConfigStatePtr publish(const std::string &PresetName);

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
