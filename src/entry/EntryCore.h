// Decision core of an entry: keeps every accepted request and job until it is
// answered. Does no I/O and reads no clock: consumes events, emits commands.
#pragma once

#include "entry/AgentReport.h"
#include "entry/EntryEvents.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft {

/// Identity of the entry and seed of its random choices.
struct EntryOptions {
  std::string m_EntryId;
  Incarnation m_Incarnation{};
  std::string m_FailureDomain;
  /// Number of entries named in the settings, this one included.
  std::uint32_t m_ConfiguredEntries = 1;
  /// Seeds routing choices and span ids, so that a session replays exactly.
  std::uint64_t m_Seed = 1;
};

/// Values for status and metrics. Counters never decrease.
struct EntryStatus {
  bool m_Ready = false;
  ConfigVersion m_ConfigVersion = 0;
  std::string m_Preset;
  /// Agents with an open link, and the number of these that accept new work.
  std::uint64_t m_Agents = 0;
  std::uint64_t m_AvailableAgents = 0;
  std::uint64_t m_Queued = 0;
  std::uint64_t m_Outstanding = 0;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Jobs = 0;
  std::uint64_t m_Dispatches = 0;
  std::uint64_t m_Results = 0;
  std::uint64_t m_Refusals = 0;
  std::uint64_t m_Retries = 0;
  std::uint64_t m_Hedges = 0;
  std::uint64_t m_UnknownOutcomes = 0;
  std::uint64_t m_ControlMessages = 0;
};

class EntryCore {
public:
  explicit EntryCore(EntryOptions Options);
  ~EntryCore();
  EntryCore(const EntryCore &) = delete;
  EntryCore &operator=(const EntryCore &) = delete;

  /// Consumes one event and appends the resulting commands to \p Commands.
  /// \p Now must not decrease between calls.
  void handle(TimePoint Now, const EntryEvent &Event,
              std::vector<EntryCommand> &Commands);

  /// Time at which the next Tick is due; TimePoint::max() when none is.
  TimePoint nextWakeup() const;

  EntryStatus status() const;

  /// One report for each agent that is connected or may reconnect, sorted by
  /// id.
  std::vector<AgentReport> agents() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
