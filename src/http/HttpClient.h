// HTTP/1.1 client: one connection for each call.
#pragma once

#include "core/Error.h"
#include "core/RuntimeClock.h"
#include "http/HttpTypes.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

struct HttpCall {
  /// "IP:port".
  std::string m_Address;
  std::string m_Method = "GET";
  std::string m_Target = "/";
  HttpHeaders m_Headers;
  std::string m_Body;
  /// From connecting to the last byte of the response.
  Duration m_Timeout{std::chrono::seconds(10)};
  /// A larger response is an error.
  std::size_t m_MaxResponseBytes = std::size_t(64) * 1024 * 1024;
};

/// Error step of a call of which nothing was sent.
constexpr std::string_view ConnectStep = "connect";

/// Error steps: ConnectStep, "send request" and "read response" (the request
/// may have taken effect).
using HttpOutcome = std::variant<HttpResponse, Error>;

/// Calls \p Done once on \p Io. The returned function cancels the call: it
/// closes the connection, and \p Done is not called. It may be called on any
/// thread; on one that doesn't run \p Io, the connection is closed by \p Io
/// later, and a \p Done that has begun may still be running when it returns.
std::function<void()> httpCallAsync(boost::asio::io_context &Io, HttpCall Call,
                                    std::function<void(HttpOutcome)> Done);

/// Blocking form of httpCallAsync().
Result<HttpResponse> httpCall(HttpCall Call);

/// Blocking form that returns the error as a value.
HttpOutcome httpCallOutcome(const HttpCall &Call);

inline Result<HttpResponse> httpCall(std::string Address, std::string Method,
                                     std::string Target, HttpHeaders Headers,
                                     std::string Body, Duration Timeout) {
  return httpCall(HttpCall{std::move(Address), std::move(Method),
                           std::move(Target), std::move(Headers),
                           std::move(Body), Timeout});
}

} // namespace cyclamencroft
