// Reads /proc and TCP_INFO, so that other traffic on a shared loopback is not
// counted.
#include "ProcessUsage.h"

#include <arpa/inet.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <numeric>

namespace cyclamencroft {
namespace {

constexpr std::uint64_t PageBytes = 4096;
constexpr std::uint64_t HeaderBytes = 52;

bool connectedTo(int Socket, std::uint16_t Port) {
  sockaddr_in Peer{};
  socklen_t Size = sizeof Peer;
  // POSIX functions take addresses of every family as sockaddr.
  auto *Address = reinterpret_cast<sockaddr *>(&Peer);
  return getpeername(Socket, Address, &Size) == 0 &&
         Peer.sin_family == AF_INET && ntohs(Peer.sin_port) == Port;
}

} // namespace

double ProcessUsage::total() const {
  return std::accumulate(m_Threads.begin(), m_Threads.end(), 0.0);
}

ProcessUsage processUsage(int Pid) {
  ProcessUsage Usage;
  const std::string Folder = "/proc/" + std::to_string(Pid);
  std::error_code Fault;
  std::vector<std::string> Threads;
  for (const auto &Thread :
       std::filesystem::directory_iterator(Folder + "/task", Fault))
    Threads.push_back(Thread.path().string());
  std::sort(Threads.begin(), Threads.end());
  for (const std::string &Thread : Threads) {
    double Nanoseconds = 0;
    std::ifstream(Thread + "/schedstat") >> Nanoseconds;
    Usage.m_Threads.push_back(Nanoseconds / 1000);
  }
  std::uint64_t Total = 0;
  std::ifstream(Folder + "/statm") >> Total >> Usage.m_ResidentBytes;
  Usage.m_ResidentBytes *= PageBytes;
  return Usage;
}

std::uint64_t SocketTraffic::wireBytes() const {
  return m_PayloadOut + m_PayloadIn +
         HeaderBytes * (m_SegmentsOut + m_SegmentsIn);
}

SocketTraffic socketTraffic(std::uint16_t PeerPort) {
  SocketTraffic Sum;
  for (const auto &File :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    const int Socket = std::stoi(File.path().filename().string());
    if (!connectedTo(Socket, PeerPort))
      continue;
    tcp_info Info{};
    socklen_t Size = sizeof Info;
    if (getsockopt(Socket, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
      continue;
    ++Sum.m_Sockets;
    // The count of acknowledged bytes includes each byte once, also when it was
    // retransmitted.
    Sum.m_PayloadOut += Info.tcpi_bytes_acked;
    Sum.m_PayloadIn += Info.tcpi_bytes_received;
    Sum.m_SegmentsOut += Info.tcpi_segs_out;
    Sum.m_SegmentsIn += Info.tcpi_segs_in;
  }
  return Sum;
}

} // namespace cyclamencroft
