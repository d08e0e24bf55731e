// Request routing and JSON bodies of the agent's HTTP interface.
#include "agent/AgentHttpRoutes.h"

#include "settings/TextFormat.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned Unavailable = 503;

/// A SequenceWindow holds 1,024 sequences of an entry. The slots stay below
/// that, so that one entry can use all slots of an endpoint.
constexpr std::uint32_t MaxSlots = 512;
constexpr std::uint32_t MaxConnections = 65535;
constexpr std::uint32_t MaxSize = 1U << 30U;

HttpResponse reply(unsigned Status, const Json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump() + "\n"};
}

HttpResponse error(unsigned Status, const std::string &Message) {
  return reply(Status, {{"error", Message}});
}

/// Reads the fields of a JSON object and keeps the message of the first error.
class FieldReader {
public:
  explicit FieldReader(const Json &Object) : m_Object(Object) {}

  std::string text(const char *Key, const TextFormat &Format) {
    const auto Found = m_Object.find(Key);
    if (Found != m_Object.end() && Found->is_string() &&
        Format.m_Accepts(Found->get_ref<const std::string &>()))
      return *Found;
    recordError(Key, std::string(Format.m_Valid));
    return {};
  }

  std::uint32_t number(const char *Key, std::uint32_t Min, std::uint32_t Max,
                       std::optional<std::uint32_t> Absent = std::nullopt) {
    const auto Found = m_Object.find(Key);
    if (Found == m_Object.end() && Absent)
      return *Absent;
    if (Found != m_Object.end() && Found->is_number_unsigned()) {
      const auto Value = Found->get<std::uint64_t>();
      if (Value >= Min && Value <= Max)
        return static_cast<std::uint32_t>(Value);
    }
    recordError(Key, "a whole number from " + std::to_string(Min) + " to " +
                         std::to_string(Max));
    return 0;
  }

  template <std::size_t N>
  void rejectUnknownKeys(const std::array<std::string_view, N> &Known) {
    for (const auto &[Key, Value] : m_Object.items())
      if (std::find(Known.begin(), Known.end(), Key) == Known.end() &&
          m_Error.empty())
        m_Error = "unknown field '" + Key + "'";
  }

  const std::string &error() const { return m_Error; }

private:
  void recordError(const std::string &Key, const std::string &Valid) {
    if (m_Error.empty())
      m_Error = "field '" + Key + "' must be " + Valid;
  }

  const Json &m_Object;
  std::string m_Error;
};

} // namespace

std::variant<EndpointAnnounced, std::string>
parseAnnouncement(std::string_view Text) {
  const Json Object = Json::parse(Text, nullptr, false);
  if (!Object.is_object())
    return std::string("the body must be a JSON object");
  FieldReader Fields(Object);
  EndpointAnnounced Endpoint;
  Endpoint.m_Service = Fields.text("service", NameFormat);
  Endpoint.m_Address = Fields.text("address", AddressFormat);
  Endpoint.m_Slots = Fields.number("slots", 1, MaxSlots);
  Endpoint.m_Connections = Fields.number("connections", 1, MaxConnections);
  Endpoint.m_Size.m_MilliCores =
      wholeCores(Fields.number("cores", 0, MaxSize, 0));
  Endpoint.m_Size.m_MemoryMiB = Fields.number("memory_mib", 0, MaxSize, 0);
  Endpoint.m_Size.m_Accelerators = Fields.number("accelerators", 0, MaxSize, 0);
  Fields.rejectUnknownKeys(std::array<std::string_view, 7>{
      "service", "address", "slots", "connections", "cores", "memory_mib",
      "accelerators"});
  if (!Fields.error().empty())
    return Fields.error();
  return Endpoint;
}

HttpResponse AgentHttpRoutes::handle(std::string_view Method,
                                     std::string_view Target,
                                     const std::string &Body) const {
  if (Target == "/v1/endpoint") {
    if (Method == "POST")
      return announce(Body);
    if (Method == "DELETE")
      return leave();
    HttpResponse Refusal = error(MethodNotAllowed, "use POST or DELETE");
    Refusal.m_Headers.emplace_back("Allow", "POST, DELETE");
    return Refusal;
  }
  const bool Known =
      Target == "/readyz" || Target == "/v1/status" || Target == "/metrics";
  if (!Known)
    return error(NotFound, "no such path");
  if (Method != "GET") {
    HttpResponse Refusal = error(MethodNotAllowed, "use GET");
    Refusal.m_Headers.emplace_back("Allow", "GET");
    return Refusal;
  }
  if (Target == "/metrics")
    return {Ok,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            m_Callbacks.m_Metrics()};
  return Target == "/readyz" ? ready() : status();
}

HttpResponse AgentHttpRoutes::announce(const std::string &Body) const {
  auto Parsed = parseAnnouncement(Body);
  if (const std::string *Message = std::get_if<std::string>(&Parsed))
    return error(BadRequest, *Message);
  m_Callbacks.m_Feed(std::move(std::get<EndpointAnnounced>(Parsed)));
  const bool Active = m_Callbacks.m_Status().m_Ready;
  return reply(Ok, {{"state", Active ? "active" : "leaving"}});
}

HttpResponse AgentHttpRoutes::leave() const {
  m_Callbacks.m_Feed(EndpointDraining{});
  return reply(Ok, {{"state", "leaving"},
                    {"running", m_Callbacks.m_Status().m_Running}});
}

HttpResponse AgentHttpRoutes::ready() const {
  if (m_Callbacks.m_Status().m_Ready)
    return reply(Ok, {{"ready", true}});
  return reply(Unavailable,
               {{"ready", false},
                {"reason", "no endpoint is announced, or it is leaving"}});
}

HttpResponse AgentHttpRoutes::status() const {
  const AgentStatusReport Report = m_Callbacks.m_Status();
  return reply(Ok, {{"ready", Report.m_Ready},
                    {"service", Report.m_Service},
                    {"config_version", Report.m_ConfigVersion},
                    {"preset", Report.m_Preset},
                    {"running", Report.m_Running},
                    {"starts", Report.m_Starts},
                    {"results", Report.m_Results},
                    {"refusals", Report.m_Refusals},
                    {"control_messages", Report.m_ControlMessages}});
}

} // namespace cyclamencroft
