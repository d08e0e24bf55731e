// Faults that the soak injects, and their schedule for a seed.
#pragma once

#include "soak/SoakSettings.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft::soak {

enum class Role : std::uint8_t { Entry, Agent };

/// A signal to one process. A killed or frozen process is restarted or resumed
/// after Fault::m_Duration.
struct ProcessFault {
  enum class Type : std::uint8_t { Kill, Terminate, Freeze, HangUp };
  Role m_Role = Role::Entry;
  std::uint32_t m_Target = 0;
  Type m_Type = Type::Kill;
};

/// A fault of the connections from one agent to one entry.
struct LinkFault {
  std::uint32_t m_Agent = 0;
  std::uint32_t m_Entry = 0;
  /// Mode of the relay, as its control interface takes it.
  std::string m_Mode;
};

/// A fault of the store, for one client or for all.
struct StoreFault {
  enum class Type : std::uint8_t {
    Unresponsive,
    Unavailable,
    Slow,
    LostResponses,
    TruncatedHistory
  };
  /// Index of the client: entries first, then agents. All clients when empty.
  std::optional<std::uint32_t> m_Client;
  Type m_Type = Type::Unresponsive;
};

struct EndpointFault {
  enum class Type : std::uint8_t {
    Crash,
    Unresponsive, ///< Runs continue; no command is answered, no heartbeat sent.
    FailAll,
    Hang,
    Slow,
    DelayedCommands, ///< Some commands are executed seconds later.
    LostResponses,
    Replace,   ///< Drains and deregisters; another instance starts.
    TokenJump, ///< As if an earlier agent process used a higher token.
    ForeignAnnouncements, ///< Its agent gets heartbeats of other writers.
  };
  std::uint32_t m_Target = 0;
  Type m_Type = Type::Crash;
};

struct TrafficFault {
  enum class Type : std::uint8_t { Burst, CallersDisconnect, FailingJobs };
  Type m_Type = Type::Burst;
};

/// Resets a share of the connections of an entry's host, repeatedly: links of
/// agents and connections of callers. Its process continues.
struct HostResets {
  std::uint32_t m_Entry = 0;
  std::uint32_t m_SharePercent = 0;
};

/// Evacuates a failure domain and restores it after the fault's duration.
struct Evacuation {
  std::uint32_t m_Domain = 0;
};

/// Publishes a configuration with other queues.
struct ConfigurationChange {};

using FaultKind =
    std::variant<ProcessFault, LinkFault, StoreFault, EndpointFault,
                 TrafficFault, HostResets, Evacuation, ConfigurationChange>;

struct Fault {
  /// Offset from the start of the fault phase.
  Duration m_At{};
  Duration m_Duration{};
  FaultKind m_Kind;
};

/// Returns faults ordered by start; deterministic for the same settings.
std::vector<Fault> generateFaults(const SoakSettings &Settings);

/// Returns a one-line description for the report.
std::string describe(const Fault &Each);

} // namespace cyclamencroft::soak
