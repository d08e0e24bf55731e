// Stand-in for the platform's log: an append-only HTTP service in memory with
// limited retention, append time and rate, and faults that tests switch on.
#pragma once

#include "core/RuntimeClock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cyclamencroft {

struct StandinLogOptions {
  /// "IP:port"; port 0 takes a free one.
  std::string m_Listen = "127.0.0.1:0";
  /// Records kept in one stream.
  std::size_t m_Retention = 10000;
  /// From an append's turn to its effect, as for a synced write.
  Duration m_AppendTime{std::chrono::milliseconds(5)};
  std::uint32_t m_AppendsPerSecond = 400;
};

/// How the log answers while it is down.
enum class LogDown : std::uint8_t {
  No,          ///< It is up.
  Reset,       ///< Connections are reset after the request was read.
  Unavailable, ///< Status 503.
  Hang,        ///< Requests are read and never answered.
};

/// Faults in effect.
struct StandinLogMode {
  LogDown m_Down = LogDown::No;
  /// Added to every append and read.
  Duration m_Slow{};
  /// Appends that take effect next and whose reply is lost.
  std::uint32_t m_LoseReplies = 0;
  /// Appends that are lost next, without effect or reply.
  std::uint32_t m_LoseAppends = 0;
};

struct StandinLogCounts {
  std::uint64_t m_Appends = 0;
  std::uint64_t m_Reads = 0;
};

/// Runs on a thread of its own; every function is safe from any thread.
/// Also over HTTP: POST /mode with JSON members "down" ("no", "reset",
/// "unavailable", "hang"), "slow_ms", "lose_replies", "lose_appends" and
/// "truncate" (records to keep in every stream), each optional; GET /mode tells
/// mode and counts.
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
  /// Drops the oldest records so that each stream keeps \p Records at most.
  void truncate(std::size_t Records);
  /// Appends at once and without faults; returns the offset.
  std::uint64_t append(const std::string &Stream, const std::string &Record);
  StandinLogCounts counts() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
