// Version 00 of the header: 00-<32 hex trace id>-<16 hex parent id>-<flags>.
#include "telemetry/Traceparent.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace cyclamencroft {
namespace {

constexpr std::size_t HeaderLength = 55;
constexpr std::size_t HalfIdDigits = 16;
constexpr std::size_t TraceIdAt = 3;
constexpr std::size_t SpanIdAt = 36;
constexpr int HexBase = 16;

std::optional<std::uint64_t> parseHex(std::string_view Digits) {
  std::uint64_t Value = 0;
  const char *End = Digits.data() + Digits.size();
  const auto Parsed = std::from_chars(Digits.data(), End, Value, HexBase);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

bool hasSeparators(std::string_view Header) {
  return Header.size() == HeaderLength &&
         Header.substr(0, TraceIdAt) == "00-" && Header[SpanIdAt - 1] == '-' &&
         Header[SpanIdAt + HalfIdDigits] == '-';
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view Header) {
  if (!hasSeparators(Header))
    return std::nullopt;
  const auto High = parseHex(Header.substr(TraceIdAt, HalfIdDigits));
  const auto Low =
      parseHex(Header.substr(TraceIdAt + HalfIdDigits, HalfIdDigits));
  const auto Span = parseHex(Header.substr(SpanIdAt, HalfIdDigits));
  if (!High || !Low || !Span)
    return std::nullopt;
  // The standard forbids an all-zero trace id or parent id.
  if ((*High == 0 && *Low == 0) || *Span == 0)
    return std::nullopt;
  return TraceContext{RequestId{*High, *Low}, *Span};
}

std::string formatTraceparent(const TraceContext &Trace) {
  char Buffer[HeaderLength + 1];
  std::snprintf(Buffer, sizeof(Buffer),
                "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-01",
                Trace.m_TraceId.m_High, Trace.m_TraceId.m_Low,
                Trace.m_ParentSpanId);
  return std::string(Buffer, HeaderLength);
}

} // namespace cyclamencroft
