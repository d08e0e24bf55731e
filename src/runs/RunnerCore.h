// Decision core of an agent that runs leased tasks. The agent is the only
// process that controls its endpoint. The core performs no I/O: it consumes
// events and returns commands.
#pragma once

#include "runs/RunEvents.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft {

struct RunnerOptions {
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  /// Higher than the token of any earlier agent process of the same endpoint.
  std::uint64_t m_FencingToken = 1;
  LinkNumber m_FirstLink{1};
  /// Longest lease that the endpoint grants.
  Duration m_EndpointLease{std::chrono::seconds(1)};
  /// An idle endpoint is treated as lost after this time without a heartbeat.
  Duration m_HeartbeatTimeout{std::chrono::seconds(5)};
};

/// Values for status and metrics. m_Endpoint, m_Running and m_Links are current
/// values, the others counters that never decrease.
struct RunnerStatus {
  EndpointState m_Endpoint = EndpointState::Absent;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Links = 0;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_Done = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Lost = 0;
  std::uint64_t m_UnansweredCalls = 0;
};

class RunnerCore {
public:
  explicit RunnerCore(RunnerOptions Options);
  ~RunnerCore();
  RunnerCore(const RunnerCore &) = delete;
  RunnerCore &operator=(const RunnerCore &) = delete;

  /// Consumes one event and appends the resulting commands to \p Commands.
  /// \p Now must not decrease between calls.
  void handle(TimePoint Now, const RunnerEvent &Event,
              std::vector<RunnerCommand> &Commands);

  /// Time at which a Tick is due; TimePoint::max() for none.
  TimePoint nextWakeup() const;

  RunnerStatus status() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
