// Settings of an entry, read from a TOML file at start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

struct EntrySettings {
  std::string m_Id;
  std::string m_FailureDomain;
  /// "IP:port"; port 0 binds a free port.
  std::string m_HttpListen = "127.0.0.1:0";
  std::string m_LinkListen = "127.0.0.1:0";
  /// Link addresses of peer entries that this one connects to.
  std::vector<std::string> m_Peers;
  /// Number of entries in the deployment, including this one.
  std::uint32_t m_Entries = 1;
  /// Address of the platform's log.
  std::string m_LogAddress;
  std::uint32_t m_HttpThreads = 2;
  std::uint32_t m_MaxConnections = 4096;
  /// Log file; empty writes to standard error.
  std::string m_LogFile;
  /// File for trace spans; empty writes none.
  std::string m_SpanFile;
};

} // namespace cyclamencroft
