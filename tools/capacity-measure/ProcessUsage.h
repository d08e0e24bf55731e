// Processor time and memory of a process, and the traffic of own TCP sockets.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

struct ProcessUsage {
  /// Processor time of each thread, us, in order of thread id.
  std::vector<double> m_Threads;
  std::uint64_t m_ResidentBytes = 0;

  double total() const;
};

/// Reads /proc; empty when the process is gone.
ProcessUsage processUsage(int Pid);

/// Sums of TCP_INFO over this process's sockets that are connected to one port.
struct SocketTraffic {
  std::uint64_t m_Sockets = 0;
  std::uint64_t m_PayloadOut = 0;
  std::uint64_t m_PayloadIn = 0;
  std::uint64_t m_SegmentsOut = 0;
  std::uint64_t m_SegmentsIn = 0;

  /// Both directions, with IPv4 and TCP headers (52 bytes with timestamps).
  std::uint64_t wireBytes() const;
};

SocketTraffic socketTraffic(std::uint16_t PeerPort);

} // namespace cyclamencroft
