// Validates each header as a whole and reports only the first error.
#include "entry/RequestHeaders.h"

#include "telemetry/Traceparent.h"

#include <charconv>

namespace cyclamencroft {
namespace {

/// Parses all of \p Text; false when it isn't a number or is out of range.
template <class T>
bool parseNumber(std::string_view Text, T &Number, int Base = 10) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number, Base);
  return !Text.empty() && Parsed.ec == std::errc() && Parsed.ptr == End;
}

class HeaderReader {
public:
  explicit HeaderReader(const HttpRequest &Request) : m_Request(Request) {}

  RequestHeaders run() {
    readRequestId();
    m_Result.m_Team = readName("Cyclamencroft-Team");
    readNonIdempotent();
    m_Result.m_Key = readName("Cyclamencroft-Key");
    if (!m_Result.m_Key.empty() && !m_Result.m_NonIdempotent)
      fail("Cyclamencroft-Key",
           "valid only with Cyclamencroft-Non-Idempotent: true");
    readDeadline();
    readNeed();
    // A malformed traceparent starts a new trace, as W3C requires.
    if (const auto Trace = parseTraceparent(header("traceparent")))
      m_Result.m_Trace = *Trace;
    return std::move(m_Result);
  }

private:
  std::string_view header(const char *Name) const {
    const auto Value = m_Request[Name];
    return {Value.data(), Value.size()};
  }

  void fail(const char *Name, const std::string &Valid) {
    if (m_Result.m_Fault.empty())
      m_Result.m_Fault = std::string("header ") + Name + " = \"" +
                         std::string(header(Name)) + "\": " + Valid;
  }

  std::string readName(const char *Name) {
    const std::string_view Value = header(Name);
    if (Value.size() > MaxNameBytes)
      fail(Name, "at most " + std::to_string(MaxNameBytes) + " bytes");
    return std::string(Value);
  }

  void readRequestId() {
    constexpr char Name[] = "Cyclamencroft-Request-Id";
    if (header(Name).empty())
      return;
    if (const auto Id = parseRequestId(header(Name)))
      m_Result.m_Request = *Id;
    else
      fail(Name, "valid are 32 hexadecimal digits, not all zero");
  }

  void readNonIdempotent() {
    constexpr char Name[] = "Cyclamencroft-Non-Idempotent";
    const std::string_view Value = header(Name);
    m_Result.m_NonIdempotent = Value == "true";
    if (!Value.empty() && Value != "true" && Value != "false")
      fail(Name, "valid are true and false");
  }

  void readDeadline() {
    constexpr char Name[] = "Cyclamencroft-Deadline-Ms";
    if (header(Name).empty())
      return;
    constexpr std::uint32_t MaxMilliseconds = 24 * 3600 * 1000;
    std::uint32_t Milliseconds = 0;
    if (!parseNumber(header(Name), Milliseconds) || Milliseconds == 0 ||
        Milliseconds > MaxMilliseconds)
      fail(Name, "valid are 1 to " + std::to_string(MaxMilliseconds));
    m_Result.m_Deadline = std::chrono::milliseconds(Milliseconds);
  }

  void readNeed() {
    constexpr char Name[] = "Cyclamencroft-Need";
    std::string_view Rest = header(Name);
    while (!Rest.empty()) {
      const std::size_t Comma = std::min(Rest.find(','), Rest.size());
      if (!readNeedItem(Rest.substr(0, Comma)))
        fail(Name, "valid is cores=N,memory-mib=N,accelerators=N");
      Rest.remove_prefix(std::min(Comma + 1, Rest.size()));
    }
  }

  bool readNeedItem(std::string_view Item) {
    while (!Item.empty() && Item.front() == ' ')
      Item.remove_prefix(1);
    const std::size_t Equals = Item.find('=');
    if (Equals == std::string_view::npos)
      return false;
    const std::string_view Key = Item.substr(0, Equals);
    const std::string_view Value = Item.substr(Equals + 1);
    if (Key == "cores") {
      std::uint32_t Cores = 0;
      const bool Read = parseNumber(Value, Cores);
      m_Result.m_Need.m_MilliCores = wholeCores(Cores);
      return Read;
    }
    if (Key == "memory-mib")
      return parseNumber(Value, m_Result.m_Need.m_MemoryMiB);
    if (Key == "accelerators")
      return parseNumber(Value, m_Result.m_Need.m_Accelerators);
    return false;
  }

  const HttpRequest &m_Request;
  RequestHeaders m_Result;
};

} // namespace

RequestHeaders readRequestHeaders(const HttpRequest &Request) {
  return HeaderReader(Request).run();
}

std::optional<RequestId> parseRequestId(std::string_view Text) {
  constexpr std::size_t HalfDigits = 16;
  constexpr int Hexadecimal = 16;
  RequestId Id;
  if (Text.size() != 2 * HalfDigits ||
      !parseNumber(Text.substr(0, HalfDigits), Id.m_High, Hexadecimal) ||
      !parseNumber(Text.substr(HalfDigits), Id.m_Low, Hexadecimal) ||
      Id == RequestId{})
    return std::nullopt;
  return Id;
}

} // namespace cyclamencroft
