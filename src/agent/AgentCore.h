// Decision core of an agent: the only gate that starts tasks at its endpoint.
// Pure: events in, commands out.
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
  /// Entry addresses in the settings.
  std::uint32_t m_Entries = 1;
  /// An announcement not renewed for this long lapses.
  Duration m_EndpointLease{std::chrono::seconds(3)};
  /// Seeds span ids, so that a session replays exactly.
  std::uint64_t m_Seed = 1;
};

/// Numbers for status and metrics; counters only grow.
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
  /// \p Now never goes back between calls.
  void handle(TimePoint Now, const AgentEvent &Event,
              std::vector<AgentCommand> &Commands);

  /// When a Tick is due; TimePoint::max() when none is.
  TimePoint nextWakeup() const;

  AgentStatusReport status() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
