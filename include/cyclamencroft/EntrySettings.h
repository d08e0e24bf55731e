// Settings of an entry, read from TOML at start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

struct EntrySettings {
  std::string m_Id;
  std::string m_FailureDomain;
  /// "IP:port"; port 0 takes a free one.
  std::string m_HttpListen = "127.0.0.1:0";
  std::string m_LinkListen = "127.0.0.1:0";
  /// Link addresses of peer entries that this one connects to.
  std::vector<std::string> m_Peers;
  /// Entries of the deployment, this one included.
  std::uint32_t m_Entries = 1;
  /// Address of the platform's log.
  std::string m_LogAddress;
  std::uint32_t m_HttpThreads = 2;
  std::uint32_t m_MaxConnections = 4096;
  /// Empty writes to standard error.
  std::string m_LogFile;
  /// Empty writes no spans.
  std::string m_SpanFile;
};

} // namespace cyclamencroft
