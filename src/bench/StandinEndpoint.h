// Stand-in endpoint for tests and the bench: announces itself to its agent,
// simulates tasks with timers, and injects faults on request.
#pragma once

#include "bench/StartCounts.h"
#include "core/Messages.h"
#include "core/RuntimeClock.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

enum class StandinMode : std::uint8_t {
  Normal,
  Fail,     ///< Responds with status 500 at once.
  Straggle, ///< Runs each task several times as long.
  Hang,     ///< Never responds.
  Late,     ///< Responds after an additional delay.
  Truncate, ///< Sends fewer bytes than the declared content length.
  Leave,    ///< Has deregistered from its agent; completes running tasks.
};

/// Returns std::nullopt for an unknown name.
std::optional<StandinMode> standinModeNamed(std::string_view Name);
std::string_view toString(StandinMode Mode);

struct StandinOptions {
  std::string m_Service = "permit-desk";
  /// "IP:port"; port 0 takes a free one.
  std::string m_Listen = "127.0.0.1:0";
  /// HTTP address of the agent; empty disables announcements.
  std::string m_AgentAddress;
  std::uint32_t m_Slots = 8;
  std::uint32_t m_Connections = 64;
  Size m_Size;
  /// Run time of a task whose body doesn't begin with "run-ms=N ".
  Duration m_RunTime{std::chrono::milliseconds(100)};
  Duration m_AnnounceInterval{std::chrono::seconds(1)};
  StandinMode m_Mode = StandinMode::Normal;
  std::uint32_t m_StragglerFactor = 10;
  Duration m_ExtraDelay{std::chrono::seconds(5)};
};

/// `POST /run` runs a task. The response repeats the request id and task index
/// so that a mismatch can be detected; "answer-bytes=N " after the run time in
/// the request body pads it to at least N bytes. `GET /starts` returns the
/// counts and `GET /tasks` the number of starts of each task. `POST /mode` with
/// JSON `{"mode", "factor", "late_ms"}` changes the mode.
///
/// One thread runs \p Io. Functions must be called on that thread or while \p
/// Io isn't running, except where noted.
class StandinEndpoint {
public:
  /// Listens; throws std::runtime_error when the address can't be used.
  StandinEndpoint(boost::asio::io_context &Io, StandinOptions Options);
  /// Same as stop().
  ~StandinEndpoint();
  StandinEndpoint(const StandinEndpoint &) = delete;
  StandinEndpoint &operator=(const StandinEndpoint &) = delete;

  /// "IP:port" of the listener.
  std::string address() const;

  /// Sends an announcement at once and then at each interval.
  void start();

  /// Thread-safe.
  void setMode(StandinMode Mode);

  /// Thread-safe.
  StartTotals totals() const;
  std::uint32_t peakConnections() const;

  /// Closes the listener and every connection and stops announcements.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
