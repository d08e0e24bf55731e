// Counts the requests that an HTTP server itself refuses, by cause, and bounds
// the log lines about them.
#pragma once

#include "core/RuntimeClock.h"
#include "telemetry/LogBudget.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace cyclamencroft {

enum class HttpRefusal : std::uint8_t {
  Header, ///< Header, trailer or extension of a chunk exceeds its limit.
  Body,
  Timeout,
  Malformed,
  Connections,
  Memory, ///< All requests together exceed the memory for them.
};
constexpr std::size_t HttpRefusalCauses = 6;
constexpr std::array<HttpRefusal, HttpRefusalCauses> AllHttpRefusals = {
    HttpRefusal::Header,    HttpRefusal::Body,        HttpRefusal::Timeout,
    HttpRefusal::Malformed, HttpRefusal::Connections, HttpRefusal::Memory};

std::string_view toString(HttpRefusal Cause);

/// Thread-safe.
class HttpRefusals {
public:
  HttpRefusals();

  /// Counts a refusal and writes at most one line a second for each cause.
  void record(HttpRefusal Cause, TimePoint Now);

  std::uint64_t count(HttpRefusal Cause) const;

private:
  std::array<std::atomic<std::uint64_t>, HttpRefusalCauses> m_Counts{};
  std::array<LogBudget, HttpRefusalCauses> m_Lines;
};

} // namespace cyclamencroft
