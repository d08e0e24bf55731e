// HTTP interface of an agent for its endpoint and for operators.
#pragma once

#include "agent/AgentCore.h"
#include "http/HttpTypes.h"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamencroft {

/// Reads the JSON body of an announcement; the alternative is one sentence that
/// names the field at fault.
std::variant<EndpointAnnounced, std::string>
parseAnnouncement(std::string_view Json);

class AgentHttpRoutes {
public:
  struct Actions {
    std::function<void(AgentEvent)> m_Feed;
    std::function<AgentStatusReport()> m_Status;
    /// Prometheus text.
    std::function<std::string()> m_Metrics;
  };

  explicit AgentHttpRoutes(Actions Calls) : m_Calls(std::move(Calls)) {}

  HttpResponse handle(std::string_view Method, std::string_view Target,
                      const std::string &Body) const;

private:
  HttpResponse announce(const std::string &Body) const;
  HttpResponse leave() const;
  HttpResponse ready() const;
  HttpResponse status() const;

  Actions m_Calls;
};

} // namespace cyclamencroft
