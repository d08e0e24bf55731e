// Decision core of an agent; only this core starts tasks at its endpoint. It
// does no I/O: it consumes events and emits commands.
#pragma once

#include "agent/AgentEvents.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft {

struct AgentOptions {
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  std::string m_FailureDomain;
  std::string m_Rack;
  /// Number of entry addresses in the settings.
  std::uint32_t m_Entries = 1;
  LinkNumber m_FirstLink{1};
  /// Time after which an announcement that is not renewed expires.
  Duration m_EndpointLease{std::chrono::seconds(3)};
  /// Seed of the span ids, so that a session replays exactly.
  std::uint64_t m_Seed = 1;
};

/// Values for status and metrics. The counters (starts, results, refusals and
/// control messages) never decrease.
struct AgentStatusReport {
  bool m_Ready = false;
  std::string m_Service;
  ConfigVersion m_ConfigVersion = 0;
  std::string m_Preset;
  std::uint64_t m_Running = 0;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Results = 0;
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_ControlMessages = 0;
};

class AgentCore {
public:
  explicit AgentCore(AgentOptions Options);
  ~AgentCore();
  AgentCore(const AgentCore &) = delete;
  AgentCore &operator=(const AgentCore &) = delete;

  /// Consumes one event and appends the resulting commands to \p Commands.
  /// \pre \p Now is not earlier than in the previous call.
  void handle(TimePoint Now, const AgentEvent &Event,
              std::vector<AgentCommand> &Commands);

  /// Time at which the next Tick is due; TimePoint::max() when none is due.
  TimePoint nextWakeup() const;

  AgentStatusReport status() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
