// The parts of link handling that are the same for server and client.
#include "link/WebsocketLinks.h"

#include <boost/leaf/handle_errors.hpp>

#include <atomic>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cyclamencroft {
namespace {

void setOption(int Socket, int Level, int Name, int Value) {
  setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

} // namespace

void setLinkSocketOptions(int Socket) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE,
            static_cast<int>(LinkKeepaliveIdle.count()));
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL,
            static_cast<int>(LinkKeepaliveInterval.count()));
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, LinkKeepaliveProbes);
  const std::chrono::milliseconds UserTimeout = LinkUserTimeout;
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(UserTimeout.count()));
}

LinkId nextLinkId() {
  static std::atomic<std::uint64_t> Last{0};
  return LinkId(Last.fetch_add(1, std::memory_order_relaxed) + 1);
}

std::string closeReason(std::string Reason) {
  constexpr std::size_t MaxReasonBytes = 123;
  if (Reason.size() > MaxReasonBytes)
    Reason.resize(MaxReasonBytes);
  return Reason;
}

std::pair<std::vector<LinkMessage>, std::string>
readFrame(const std::string &Frame) {
  using Decoded = std::pair<std::vector<LinkMessage>, std::string>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Decoded> {
        BOOST_LEAF_AUTO(Messages, decodeFrame(Frame));
        return Decoded(std::move(Messages), std::string());
      },
      [](const Error &Fault) { return Decoded({}, Fault.m_Message); },
      [] { return Decoded({}, "malformed frame"); });
}

} // namespace cyclamencroft
