// Pages of an entry for load balancers and operators.
#include "entry/EntryLoop.h"
#include "entry/EntryResponses.h"

namespace cyclamencroft {
namespace {

constexpr unsigned Ok = 200;
constexpr unsigned ServiceUnavailable = 503;

HttpResponse textResponse(unsigned Status, std::string Text) {
  return {Status, {{"Content-Type", "text/plain"}}, std::move(Text)};
}

} // namespace

void EntryLoop::showPage(EntryPage Page, const ExchangePtr &Exchange) {
  const EntryStatus Status = m_Core.status();
  switch (Page) {
  case EntryPage::Ready:
    return Exchange->respond(readyPage(Status));
  case EntryPage::Status:
    return Exchange->respond(
        statusResponse(Status, m_EntryId, m_Callers.size()));
  case EntryPage::Agents:
    return Exchange->respond(agentsResponse(m_Core.agents()));
  case EntryPage::Metrics:
    return Exchange->respond(metricsPage(Status));
  }
}

HttpResponse EntryLoop::readyPage(const EntryStatus &Status) const {
  if (m_Draining)
    return textResponse(ServiceUnavailable, "shutting-down\n");
  if (Status.m_Ready)
    return textResponse(Ok, "ready\n");
  if (!m_Adopted)
    return textResponse(ServiceUnavailable,
                        "no-configuration: neither the log nor a peer has "
                        "given one yet\n");
  if (!m_Adopted->preset().m_AdmitsWork)
    return textResponse(ServiceUnavailable, "preset-refuses\n");
  return textResponse(ServiceUnavailable,
                      "configuration-overdue: a higher version is known but "
                      "could not be obtained\n");
}

HttpResponse EntryLoop::metricsPage(const EntryStatus &Status) {
  const auto Set = [this](std::string_view Name, std::uint64_t Value) {
    m_Metrics.set("entry_" + std::string(Name), Value);
  };
  Set("ready", Status.m_Ready ? 1 : 0);
  Set("config_version", Status.m_ConfigVersion);
  Set("agents", Status.m_Agents);
  Set("available_agents", Status.m_AvailableAgents);
  Set("links", m_Links.size());
  Set("callers", m_Callers.size());
  Set("queued", Status.m_Queued);
  Set("outstanding", Status.m_Outstanding);
  Set("requests_total", Status.m_Requests);
  Set("jobs_total", Status.m_Jobs);
  Set("dispatches_total", Status.m_Dispatches);
  Set("results_total", Status.m_Results);
  Set("refusals_total", Status.m_Refusals);
  Set("retries_total", Status.m_Retries);
  Set("hedges_total", Status.m_Hedges);
  Set("unknown_outcomes_total", Status.m_UnknownOutcomes);
  Set("control_messages_total", Status.m_ControlMessages);
  return textResponse(Ok, m_Metrics.toPrometheus());
}

} // namespace cyclamencroft
