// One counter and one budget of log lines for each cause.
#include "http/HttpRefusals.h"

#include "telemetry/EventLog.h"

#include <string>

namespace cyclamencroft {

std::string_view toString(HttpRefusal Cause) {
  switch (Cause) {
  case HttpRefusal::Header:
    return "header";
  case HttpRefusal::Body:
    return "body";
  case HttpRefusal::Timeout:
    return "timeout";
  case HttpRefusal::Malformed:
    return "malformed";
  case HttpRefusal::Connections:
    return "connections";
  case HttpRefusal::Memory:
    return "memory";
  }
  return "invalid";
}

HttpRefusals::HttpRefusals() {
  for (LogBudget &Lines : m_Lines)
    Lines.setRate(1);
}

void HttpRefusals::record(HttpRefusal Cause, TimePoint Now) {
  const auto Index = static_cast<std::size_t>(Cause);
  const std::uint64_t Count = ++m_Counts.at(Index);
  if (m_Lines.at(Index).take(Now))
    logEvent(LogLevel::Warning, "request-refused",
             {{"cause", std::string(toString(Cause))},
              {"refused-total", std::to_string(Count)}});
}

std::uint64_t HttpRefusals::count(HttpRefusal Cause) const {
  return m_Counts.at(static_cast<std::size_t>(Cause));
}

} // namespace cyclamencroft
