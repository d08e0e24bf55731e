// Tries the next entry only when the call was certainly not run.
#include "cyclamencroft/Client.h"

#include "core/Error.h"
#include "http/HttpClient.h"

#include <nlohmann/json.hpp>

#include <array>
#include <random>
#include <stdexcept>
#include <utility>
#include <variant>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

/// Time after the deadline within which the entry still responds.
constexpr std::chrono::seconds ResponseMargin{5};
/// Timeout of calls without a deadline; exceeds the default deadline of any
/// service.
constexpr std::chrono::minutes MaxResponseTime{10};

std::string drawRequestId() {
  std::random_device Source;
  std::uniform_int_distribution<std::uint64_t> Draw;
  return RequestId{Draw(Source), Draw(Source)}.toHex();
}

std::string formatNeed(const Size &Need) {
  return "cores=" + std::to_string(Need.m_MilliCores / MilliCoresPerCore) +
         ",memory-mib=" + std::to_string(Need.m_MemoryMiB) +
         ",accelerators=" + std::to_string(Need.m_Accelerators);
}

HttpCall makePost(const CallFields &Fields, const std::string &Kind,
                  const std::string &Id) {
  HttpCall Call;
  Call.m_Method = "POST";
  Call.m_Target = "/v1/services/" + Fields.m_Service + Kind;
  Call.m_Timeout = MaxResponseTime;
  Call.m_Headers.emplace_back("Cyclamencroft-Request-Id", Id);
  if (!Fields.m_Team.empty())
    Call.m_Headers.emplace_back("Cyclamencroft-Team", Fields.m_Team);
  if (!Size{}.holds(Fields.m_Need))
    Call.m_Headers.emplace_back("Cyclamencroft-Need",
                                formatNeed(Fields.m_Need));
  if (Fields.m_DeadlineMs > 0) {
    Call.m_Headers.emplace_back("Cyclamencroft-Deadline-Ms",
                                std::to_string(Fields.m_DeadlineMs));
    Call.m_Timeout =
        std::chrono::milliseconds(Fields.m_DeadlineMs) + ResponseMargin;
  }
  return Call;
}

/// True when the call may be sent to the next entry: it was certainly not run,
/// for a reason that concerns only the entry that was called.
struct ShouldTryNextEntry {
  bool operator()(const Error &Fault) const {
    return Fault.m_Step == ConnectStep;
  }

  bool operator()(const HttpResponse &Response) const {
    constexpr std::array<std::string_view, 2> EntryReasons = {
        "shutting-down", "no-configuration"};
    if (Response.header("Cyclamencroft-Outcome") != "not-run")
      return false;
    const Json Body = Json::parse(Response.m_Body, nullptr, false);
    if (!Body.is_object() || !Body.contains("reason"))
      return false;
    for (const std::string_view Reason : EntryReasons)
      if (Body["reason"] == Reason)
        return true;
    return false;
  }
};

Result<ClientAnswer> callFirstAvailable(const std::vector<std::string> &Entries,
                                        HttpCall Call, const std::string &Id) {
  HttpOutcome LastOutcome;
  for (const std::string &Entry : Entries) {
    Call.m_Address = Entry;
    LastOutcome = httpCallOutcome(Call);
    if (!std::visit(ShouldTryNextEntry{}, LastOutcome))
      break;
  }
  if (auto *Fault = std::get_if<Error>(&LastOutcome))
    return boost::leaf::new_error(std::move(*Fault));
  return ClientAnswer{Id, std::get<HttpResponse>(std::move(LastOutcome))};
}

} // namespace

Client::Client(std::vector<std::string> Entries)
    : m_Entries(std::move(Entries)) {
  if (m_Entries.empty())
    throw std::invalid_argument("a client needs at least one entry address");
}

boost::leaf::result<ClientAnswer>
Client::request(const ClientRequest &Request) const {
  const std::string Id = drawRequestId();
  HttpCall Call = makePost(Request.m_Fields, "/requests", Id);
  if (Request.m_NonIdempotent)
    Call.m_Headers.emplace_back("Cyclamencroft-Non-Idempotent", "true");
  if (!Request.m_Key.empty())
    Call.m_Headers.emplace_back("Cyclamencroft-Key", Request.m_Key);
  Call.m_Body = Request.m_Body;
  return callFirstAvailable(m_Entries, std::move(Call), Id);
}

boost::leaf::result<ClientAnswer> Client::submit(const ClientJob &Job) const {
  const std::string Id = drawRequestId();
  HttpCall Call = makePost(Job.m_Fields, "/jobs", Id);
  Call.m_Headers.emplace_back("Content-Type", "application/json");
  Call.m_Body = Json({{"tasks", Job.m_Tasks}})
                    .dump(-1, ' ', false, Json::error_handler_t::replace);
  return callFirstAvailable(m_Entries, std::move(Call), Id);
}

} // namespace cyclamencroft
