// Reads and checks the settings files of the daemons.
#pragma once

#include "cyclamencroft/AgentSettings.h"
#include "cyclamencroft/EntrySettings.h"
#include "cyclamencroft/JobEntrySettings.h"
#include "cyclamencroft/RunAgentSettings.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace cyclamencroft {

/// Error object with every fault of a settings file, each in the format
/// "file:line: key = value: what would be valid".
struct SettingsFaults {
  std::vector<std::string> m_Faults;
};

/// Fails with a SettingsFaults error object that lists all faults at once.
boost::leaf::result<EntrySettings> readEntrySettings(const std::string &File);
boost::leaf::result<AgentSettings> readAgentSettings(const std::string &File);
boost::leaf::result<JobEntrySettings>
readJobEntrySettings(const std::string &File);
boost::leaf::result<RunAgentSettings>
readRunAgentSettings(const std::string &File);

/// Markdown reference of every key with unit, default and limits.
std::string settingsReference();

} // namespace cyclamencroft
