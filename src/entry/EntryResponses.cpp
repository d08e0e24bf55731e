// Strings in JSON bodies are written with nlohmann-json, which escapes them.
#include "entry/EntryResponses.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

constexpr unsigned Ok = 200;
constexpr unsigned ServiceUnavailable = 503;

HttpHeaders outcomeHeaders(const RequestId &Request, Outcome Value) {
  return {{"Cyclamencroft-Request-Id", Request.toHex()},
          {"Cyclamencroft-Outcome", std::string(toString(Value))}};
}

HttpResponse jsonResponse(unsigned Status, HttpHeaders Headers,
                          std::string Body) {
  Headers.emplace_back("Content-Type", "application/json");
  return {Status, std::move(Headers), std::move(Body)};
}

/// Replaces bytes that are not UTF-8: a detail may quote such bytes from a
/// caller or an endpoint.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpResponse outcomeResponse(unsigned Status, const RequestId &Request,
                             Outcome Value, std::string_view Reason,
                             std::string_view Detail) {
  const Json Body = {{"outcome", toString(Value)},
                     {"reason", Reason},
                     {"detail", Detail},
                     {"request", Request.toHex()}};
  return jsonResponse(Status, outcomeHeaders(Request, Value), dump(Body));
}

unsigned statusOf(Outcome Value, RefusalReason Reason) {
  switch (Value) {
  case Outcome::Completed:
    return Ok;
  case Outcome::Failed:
    return 502;
  case Outcome::NotRun:
    return statusOf(Reason);
  case Outcome::Unknown:
    return 504;
  case Outcome::Cancelled:
    return 409;
  }
  return 500;
}

template <class A> HttpResponse notCompletedResponse(const A &Answer) {
  return outcomeResponse(statusOf(Answer.m_Outcome, Answer.m_Reason),
                         Answer.m_Request, Answer.m_Outcome,
                         toString(Answer.m_Reason), Answer.m_Detail);
}

std::string base64(std::string_view Bytes) {
  constexpr char Alphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned SextetBits = 6;
  std::string Text;
  std::uint32_t Pending = 0;
  unsigned Bits = 0;
  for (const char Byte : Bytes) {
    Pending = Pending << 8 | static_cast<unsigned char>(Byte);
    for (Bits += 8; Bits >= SextetBits; Bits -= SextetBits)
      Text += Alphabet[Pending >> (Bits - SextetBits) & 63];
  }
  if (Bits != 0)
    Text += Alphabet[Pending << (SextetBits - Bits) & 63];
  Text.resize((Text.size() + 3) / 4 * 4, '=');
  return Text;
}

/// A JSON string can't contain bytes that are not UTF-8. Such bodies are sent
/// in base64 under another key, so that no byte is lost.
std::string bodyMember(std::string_view Body) {
  try {
    return "\"body\":" + Json(Body).dump();
  } catch (const Json::type_error &) {
    return "\"body_base64\":\"" + base64(Body) + "\"";
  }
}

} // namespace

HttpResponse toResponse(const AnswerRequest &Answer) {
  if (Answer.m_Outcome != Outcome::Completed)
    return notCompletedResponse(Answer);
  return {Answer.m_HttpStatus,
          outcomeHeaders(Answer.m_Request, Outcome::Completed),
          std::string(bytesOf(Answer.m_Body))};
}

HttpResponse toResponse(const AnswerJob &Answer) {
  if (Answer.m_Outcome != Outcome::Completed)
    return notCompletedResponse(Answer);
  std::string Body = "{\"outcome\":\"completed\",\"request\":\"" +
                     Answer.m_Request.toHex() + "\",\"tasks\":[";
  for (const TaskAnswer &Task : Answer.m_Tasks) {
    if (&Task != &Answer.m_Tasks.front())
      Body += ',';
    Body += "{\"status\":" + std::to_string(Task.m_HttpStatus) + ',' +
            bodyMember(bytesOf(Task.m_Body)) + '}';
  }
  Body += "]}";
  return jsonResponse(Ok, outcomeHeaders(Answer.m_Request, Outcome::Completed),
                      std::move(Body));
}

HttpResponse refusalResponse(unsigned Status, const RequestId &Request,
                             std::string_view Reason, std::string_view Detail) {
  return outcomeResponse(Status, Request, Outcome::NotRun, Reason, Detail);
}

unsigned statusOf(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::UnknownService:
  case RefusalReason::UnknownTeam:
    return 404;
  case RefusalReason::RepeatedKey:
    return 409;
  case RefusalReason::SizeFitsNoEndpoint:
    return 422;
  case RefusalReason::QuotaExceeded:
    return 429;
  default:
    return ServiceUnavailable;
  }
}

HttpResponse statusResponse(const EntryStatus &Status,
                            const std::string &EntryId, std::size_t Callers) {
  const Json Body = {{"entry", EntryId},
                     {"ready", Status.m_Ready},
                     {"config_version", Status.m_ConfigVersion},
                     {"preset", Status.m_Preset},
                     {"agents", Status.m_Agents},
                     {"available_agents", Status.m_AvailableAgents},
                     {"callers", Callers},
                     {"queued", Status.m_Queued},
                     {"outstanding", Status.m_Outstanding},
                     {"requests", Status.m_Requests},
                     {"jobs", Status.m_Jobs},
                     {"dispatches", Status.m_Dispatches},
                     {"results", Status.m_Results},
                     {"refusals", Status.m_Refusals},
                     {"retries", Status.m_Retries},
                     {"hedges", Status.m_Hedges},
                     {"unknown_outcomes", Status.m_UnknownOutcomes},
                     {"control_messages", Status.m_ControlMessages}};
  return jsonResponse(Ok, {}, dump(Body));
}

HttpResponse agentsResponse(const std::vector<AgentReport> &Agents) {
  Json List = Json::array();
  for (const AgentReport &Agent : Agents)
    List.push_back({{"id", Agent.m_Id},
                    {"state", Agent.m_State},
                    {"service", Agent.m_Service},
                    {"failure_domain", Agent.m_FailureDomain},
                    {"rack", Agent.m_Rack},
                    {"endpoint", Agent.m_Endpoint},
                    {"slots", Agent.m_Slots},
                    {"outstanding", Agent.m_Outstanding}});
  return jsonResponse(Ok, {}, dump(Json({{"agents", List}})));
}

HttpResponse configResponse(const ConfigState &State) {
  const Json Body = {{"version", State.m_Version},
                     {"offset", State.m_Offset},
                     {"preset", State.m_PresetName},
                     {"document", State.m_Document}};
  return jsonResponse(Ok, {}, dump(Body));
}

} // namespace cyclamencroft
