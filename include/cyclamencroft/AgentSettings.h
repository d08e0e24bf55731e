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
  /// "IP:port" for the endpoint's announcements; port 0 takes a free one.
  std::string m_HttpListen = "127.0.0.1:0";
  /// Link addresses of the entries.
  std::vector<std::string> m_Entries;
  /// Empty writes to standard error.
  std::string m_LogFile;
  /// Empty writes no spans.
  std::string m_SpanFile;
};

} // namespace cyclamencroft
