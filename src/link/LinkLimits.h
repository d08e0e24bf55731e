// Limits and timeouts of links.
#pragma once

#include "core/RuntimeClock.h"

#include <cstddef>

namespace cyclamencroft {

/// A link with more unsent bytes is closed. Holds two frames of the largest
/// size.
constexpr std::size_t MaxQueuedBytes = std::size_t(8) * 1024 * 1024;

/// Links that one server accepts: 2,000 agents and peers, with room for those
/// that reconnect before the loss of their old link is detected.
constexpr std::size_t MaxServerLinks = 8192;

/// A link is closed when sent data stays unacknowledged for this long.
/// Heartbeats are sent every 20 s, so the idle link to a failed host is closed
/// within 35 s.
constexpr std::chrono::seconds LinkUserTimeout{15};

/// Idle time before the first TCP keepalive probe; above the heartbeat
/// interval, so that probes cost nothing while the peer's process is healthy.
constexpr std::chrono::seconds LinkKeepaliveIdle{45};
constexpr std::chrono::seconds LinkKeepaliveInterval{5};
constexpr int LinkKeepaliveProbes = 3;

/// Timeout of a TCP connection attempt: several round trips between regions.
/// The first packet to a host without power is lost, and TCP retransmits it
/// only after 1 s, while a new attempt reaches the host as soon as it is back.
constexpr long LinkConnectTimeoutMs = 250;

/// Timeout of the handshake, which needs CPU time of a busy peer.
constexpr long LinkHandshakeTimeoutMs = 1000;

/// Bounds of the delay before a connection attempt.
constexpr Duration MinReconnectDelay{std::chrono::milliseconds(100)};
constexpr Duration MaxReconnectDelay{std::chrono::seconds(2)};

} // namespace cyclamencroft
