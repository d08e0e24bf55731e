// Settings of an agent, read from TOML at start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

struct AgentSettings {
  std::string m_Id;
  std::string m_FailureDomain;
  std::string m_Rack;
  /// "IP:port" on which the endpoint announces itself; port 0 selects a free
  /// port.
  std::string m_HttpListen = "127.0.0.1:0";
  /// Link addresses of the entries.
  std::vector<std::string> m_Entries;
  /// When empty, the log goes to standard error.
  std::string m_LogFile;
  /// When empty, no spans are written.
  std::string m_SpanFile;
};

} // namespace cyclamencroft
