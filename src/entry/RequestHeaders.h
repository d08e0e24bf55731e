// Reads the Cyclamencroft-* headers of a request or job.
#pragma once

#include "core/Messages.h"
#include "http/HttpServer.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamencroft {

struct RequestHeaders {
  /// Zero when the caller sends none; the entry then generates one.
  RequestId m_Request;
  std::string m_Team;
  bool m_NonIdempotent = false;
  std::string m_Key;
  /// Zero when the caller sends none.
  Duration m_Deadline{};
  Size m_Need;
  TraceContext m_Trace;
  /// Empty when all headers are valid; otherwise the first invalid header and
  /// its valid values.
  std::string m_Fault;
};

/// Longest accepted team name or key in bytes.
constexpr std::size_t MaxNameBytes = 256;

RequestHeaders readRequestHeaders(const HttpRequest &Request);

/// std::nullopt when \p Text is not 32 hexadecimal digits or all are zero.
std::optional<RequestId> parseRequestId(std::string_view Text);

} // namespace cyclamencroft
