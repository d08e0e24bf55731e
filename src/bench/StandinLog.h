// Stand-in for the platform's log: an in-memory, append-only HTTP service with
// limited retention, append latency, rate limit, and fault injection.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cyclamencroft {

struct StandinLogOptions {
  /// "IP:port"; port 0 takes a free one.
  std::string m_Listen = "127.0.0.1:0";
  /// Maximum number of records retained in one stream.
  std::size_t m_Retention = 10000;
  /// Latency of an append after the rate limit admits it, as for a synced
  /// write.
  Duration m_AppendTime{std::chrono::milliseconds(5)};
  std::uint32_t m_AppendsPerSecond = 400;
};

/// Response of the log while it is down.
enum class LogDown : std::uint8_t {
  No,          ///< The log is up.
  Reset,       ///< Resets connections after reading the request.
  Unavailable, ///< Responds with status 503.
  Hang,        ///< Reads requests and never responds.
};

/// Injected faults.
struct StandinLogMode {
  LogDown m_Down = LogDown::No;
  /// Added to every append and read.
  Duration m_ExtraDelay{};
  /// Number of next appends that take effect but whose reply is dropped.
  std::uint32_t m_LoseReplies = 0;
  /// Number of next appends that are dropped without effect or reply.
  std::uint32_t m_LoseAppends = 0;
};

struct StandinLogCounts {
  /// Append requests that arrived while the log was up, including lost ones.
  std::uint64_t m_AppendRequests = 0;
  std::uint64_t m_Appends = 0;
  std::uint64_t m_Reads = 0;
};

/// Runs on its own thread; all functions are thread-safe. Faults can also be
/// set over HTTP: POST /mode with the optional JSON members "down" ("no",
/// "reset", "unavailable", "hang"), "slow_ms", "lose_replies", "lose_appends"
/// and "truncate" (records to keep in every stream). GET /mode returns the mode
/// and the counts.
class StandinLog {
public:
  /// Throws std::runtime_error that names the address when it can't listen.
  explicit StandinLog(const StandinLogOptions &Options = {});
  ~StandinLog();
  StandinLog(const StandinLog &) = delete;
  StandinLog &operator=(const StandinLog &) = delete;

  std::uint16_t port() const;
  /// "IP:port" to connect to.
  std::string address() const;

  void setMode(const StandinLogMode &Mode);
  /// Drops the oldest records of each stream beyond \p Records.
  void truncate(std::size_t Records);
  /// Appends a record at once, without injected faults; returns its offset.
  std::uint64_t append(const std::string &Stream, const std::string &Record);
  StandinLogCounts counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
