// HTTP interface of an agent for its endpoint and for operators.
#pragma once

#include "agent/AgentCore.h"
#include "http/HttpTypes.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamencroft {

/// Parses the JSON body of an announcement. Returns an error message that names
/// the invalid field when the body is malformed.
std::variant<EndpointAnnounced, std::string>
parseAnnouncement(std::string_view Json);

class AgentHttpRoutes {
public:
  struct Actions {
    std::function<void(AgentEvent)> m_Feed;
    std::function<AgentStatusReport()> m_Status;
    /// Returns the metrics in the Prometheus text format.
    std::function<std::string()> m_Metrics;
  };

  explicit AgentHttpRoutes(Actions Callbacks)
      : m_Callbacks(std::move(Callbacks)) {}

  HttpResponse handle(std::string_view Method, std::string_view Target,
                      const std::string &Body) const;

private:
  HttpResponse announce(const std::string &Body) const;
  HttpResponse leave() const;
  HttpResponse ready() const;
  HttpResponse status() const;

  Actions m_Callbacks;
};

} // namespace cyclamencroft
