// Processor time and memory of a process, and traffic of this process's TCP
// sockets.
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

/// Reads /proc; zero usage when the process doesn't exist.
ProcessUsage processUsage(int Pid);

/// Sums of TCP_INFO over this process's sockets that are connected to one port.
struct SocketTraffic {
  std::uint64_t m_Sockets = 0;
  std::uint64_t m_PayloadOut = 0;
  std::uint64_t m_PayloadIn = 0;
  std::uint64_t m_SegmentsOut = 0;
  std::uint64_t m_SegmentsIn = 0;

  /// Bytes of both directions, including IPv4 and TCP headers (52 bytes per
  /// segment, with TCP timestamps).
  std::uint64_t wireBytes() const;
};

SocketTraffic socketTraffic(std::uint16_t PeerPort);

} // namespace cyclamencroft
