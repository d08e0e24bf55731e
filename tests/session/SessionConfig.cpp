// Configuration document and presets of sessions.
#include "SessionConfig.h"

namespace cyclamencroft::session {

Configuration SessionConfig::document() const {
  Configuration Config;
  Config.m_Services["permits"];
  Config.m_Services["refills"];
  Config.m_Teams["billing"].m_StartsPerSecond = 30;
  Config.m_Teams["field"].m_StartsPerSecond = 0;
  Config.m_Presets["ordinary"];
  Preset &Peak = Config.m_Presets["peak"];
  Peak.m_Hedging = true;
  Peak.m_HedgeAfter = 2.0;
  Config.m_Presets["maintenance"].m_AdmitsWork = false;
  Config.m_Presets["queue"].m_AgentQueue = 2;
  Config.m_Presets["random"].m_Routing = RandomPolicy{};
  for (const std::string &Domain : m_FailureDomains)
    Config.m_Presets["drain-" + Domain].m_DrainedFailureDomains = {Domain};
  return Config;
}

ConfigStatePtr SessionConfig::publish(const std::string &PresetName) {
  auto State = std::make_shared<ConfigState>();
  State->m_Version = m_States.size() + 1;
  State->m_Offset = State->m_Version;
  State->m_PresetName = PresetName;
  State->m_Document = "document";
  State->m_Configuration = document();
  State->preset(); // Throws for an unknown preset name.
  m_States.push_back(State);
  return State;
}

ConfigStatePtr SessionConfig::find(ConfigVersion Version) const {
  if (Version == 0 || Version > m_States.size())
    return nullptr;
  return m_States[Version - 1];
}

} // namespace cyclamencroft::session
