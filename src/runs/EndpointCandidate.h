// A process that has announced itself as the next endpoint of an agent.
#pragma once

#include "runs/RunEvents.h"

#include <cstdint>
#include <optional>

namespace cyclamencroft {

/// An announcement may come from another writer than the endpoint, so it is
/// believed only when the process has answered at the address that it names.
struct EndpointCandidate {
  EndpointHeartbeat m_Heartbeat;
  TimePoint m_ReceivedAt{};
  /// Number of the probe that is in flight.
  std::optional<std::uint64_t> m_PendingProbe;
  TimePoint m_NextProbeAt{};
  /// Invariant: true only if the announced process has answered a probe.
  bool m_Confirmed = false;
};

} // namespace cyclamencroft
