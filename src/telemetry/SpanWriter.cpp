// The calling thread writes each span to a buffered stream under a lock. The
// file is flushed with the first span that ends at least one second after the
// last flush.
#include "telemetry/SpanWriter.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <mutex>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

constexpr int SpanKindInternal = 1;
constexpr int StatusOk = 1;
constexpr int StatusError = 2;
constexpr std::int64_t NanosecondsPerMicrosecond = 1000;

std::string spanIdHex(std::uint64_t Id) {
  char Buffer[17];
  std::snprintf(Buffer, sizeof(Buffer), "%016" PRIx64, Id);
  return Buffer;
}

Json stringAttribute(const char *Key, const std::string &Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

} // namespace

class SpanWriter::Impl {
public:
  Impl(const std::string &File, const std::string &Service)
      : m_Service(Service), m_EpochOffset(epochOffset()) {
    if (!File.empty())
      m_Out.open(File, std::ios::app);
  }

  void write(const SpanEnded &Span) {
    if (!m_Out.is_open())
      return;
    const std::string Line = encode(Span).dump();
    const std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Out << Line << '\n';
    flushWhenDue(Span.m_End);
  }

private:
  // OTLP timestamps count from the Unix epoch; the runtime clock is monotonic.
  static std::int64_t epochOffset() {
    const auto Wall = std::chrono::system_clock::now().time_since_epoch();
    const auto Runtime = RuntimeClock::now().time_since_epoch();
    return std::chrono::duration_cast<Duration>(Wall).count() - Runtime.count();
  }

  std::string unixNanoseconds(TimePoint Time) const {
    const std::int64_t Micros = Time.time_since_epoch().count() + m_EpochOffset;
    return std::to_string(Micros * NanosecondsPerMicrosecond);
  }

  Json encode(const SpanEnded &Span) const {
    Json Body = {
        {"traceId", Span.m_Trace.m_TraceId.toHex()},
        {"spanId", spanIdHex(Span.m_SpanId)},
        {"name", Span.m_Step},
        {"kind", SpanKindInternal},
        {"startTimeUnixNano", unixNanoseconds(Span.m_Start)},
        {"endTimeUnixNano", unixNanoseconds(Span.m_End)},
        {"attributes",
         {stringAttribute("step", std::string(Span.m_Step)),
          stringAttribute("peer", Span.m_Peer)}},
        {"status", {{"code", Span.m_Failed ? StatusError : StatusOk}}}};
    if (Span.m_Trace.m_ParentSpanId != 0)
      Body["parentSpanId"] = spanIdHex(Span.m_Trace.m_ParentSpanId);
    const Json Scope = {{"scope", {{"name", "cyclamencroft"}}},
                        {"spans", Json::array({Body})}};
    const Json Resource = {
        {"resource",
         {{"attributes",
           Json::array({stringAttribute("service.name", m_Service)})}}},
        {"scopeSpans", Json::array({Scope})}};
    return {{"resourceSpans", Json::array({Resource})}};
  }

  void flushWhenDue(TimePoint Now) {
    constexpr Duration FlushInterval = std::chrono::seconds(1);
    if (Now - m_LastFlush < FlushInterval)
      return;
    m_Out.flush();
    m_LastFlush = Now;
  }

  const std::string m_Service;
  /// Microseconds to add to a runtime clock time to get Unix time.
  const std::int64_t m_EpochOffset;
  std::mutex m_Mutex;
  /// Invariant: written under m_Mutex only; closed when no file was given.
  std::ofstream m_Out;
  TimePoint m_LastFlush{};
};

SpanWriter::SpanWriter(const std::string &File, const std::string &Service)
    : m_Impl(std::make_unique<Impl>(File, Service)) {}

SpanWriter::~SpanWriter() = default;

void SpanWriter::write(const SpanEnded &Span) { m_Impl->write(Span); }

} // namespace cyclamencroft
