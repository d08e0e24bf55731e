// Maps responses of an entry to exit codes. The outcome of a call without a
// response is unknown, unless the connection was never established.
#include "cli/EntryCalls.h"

#include "cyclamencroft/Client.h"
#include "http/HttpClient.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <functional>

namespace cyclamencroft {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::chrono::seconds OperatorTimeout{5};

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
/// Status codes with which the entry's HTTP server or parser rejects input.
constexpr unsigned InvalidStatuses[] = {400, 404, 405, 413, 414, 431};

CommandResult callFailed(const Error &Fault, const std::string &RequestId) {
  const bool Sent = Fault.m_Step != ConnectStep;
  const Json Fields{{"outcome", Sent ? "unknown" : "not-run"},
                    {"error", Fault.describe()},
                    {"request", RequestId}};
  return makeResult(Sent ? ExitCode::Failed : ExitCode::NotReachable, Fields);
}

using ResponseHandler = std::function<CommandResult(const HttpResponse &)>;

CommandResult callEntry(const HttpCall &Call, const std::string &RequestId,
                        const ResponseHandler &Handle) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<CommandResult> {
        BOOST_LEAF_AUTO(Response, httpCall(Call));
        return Handle(Response);
      },
      [&](const Error &Fault) { return callFailed(Fault, RequestId); },
      [] { return makeFailure(ExitCode::Failed, "unexpected error"); });
}

CommandResult
classifyAnswer(const std::function<Result<ClientAnswer>()> &Call) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<CommandResult> {
        BOOST_LEAF_AUTO(Answer, Call());
        return classifyResponse(Answer.m_Response, Answer.m_RequestId);
      },
      [&](const Error &Fault) { return callFailed(Fault, ""); },
      [] { return makeFailure(ExitCode::Failed, "unexpected error"); });
}

/// Adds the members of a JSON object; any other body is added as text.
void addBody(Json &Fields, const std::string &Body) {
  const Json Parsed = Json::parse(Body, nullptr, false);
  if (!Parsed.is_object()) {
    Fields["body"] = Body;
    return;
  }
  for (const auto &[Name, Value] : Parsed.items())
    Fields[Name] = Value;
}

ExitCode exitCodeOf(std::string_view Outcome, unsigned Status) {
  if (Outcome == "completed")
    return ExitCode::Done;
  if (Outcome == "not-run")
    return ExitCode::Refused;
  for (const unsigned Invalid : InvalidStatuses)
    if (Outcome.empty() && Status == Invalid)
      return ExitCode::Invalid;
  return ExitCode::Failed;
}

HttpCall makeOperatorCall(const std::string &Entry, const std::string &Method,
                          const std::string &Target) {
  HttpCall Call;
  Call.m_Address = Entry;
  Call.m_Method = Method;
  Call.m_Target = Target;
  Call.m_Timeout = OperatorTimeout;
  return Call;
}

CommandResult unexpectedStatus(const HttpResponse &Response) {
  Json Fields{{"status", Response.m_Status}};
  addBody(Fields, Response.m_Body);
  return makeResult(ExitCode::Failed, Fields);
}

} // namespace

std::optional<Size> parseNeed(std::string_view Text) {
  const std::pair<std::string_view, std::uint32_t Size::*> Parts[] = {
      {"cores=", &Size::m_MilliCores},
      {"memory-mib=", &Size::m_MemoryMiB},
      {"accelerators=", &Size::m_Accelerators}};
  Size Need;
  while (!Text.empty()) {
    const std::string_view Part = Text.substr(0, Text.find(','));
    Text.remove_prefix(std::min(Text.size(), Part.size() + 1));
    bool IsValid = false;
    for (const auto &[Name, Member] : Parts) {
      if (Part.substr(0, Name.size()) != Name)
        continue;
      const char *End = Part.data() + Part.size();
      const auto Read =
          std::from_chars(Part.data() + Name.size(), End, Need.*Member);
      IsValid = Read.ec == std::errc() && Read.ptr == End;
    }
    if (!IsValid)
      return std::nullopt;
  }
  Need.m_MilliCores = wholeCores(Need.m_MilliCores);
  return Need;
}

CommandResult classifyResponse(const HttpResponse &Response,
                               const std::string &RequestId) {
  const std::string_view Outcome = Response.header("Cyclamencroft-Outcome");
  const ExitCode Code = exitCodeOf(Outcome, Response.m_Status);
  Json Fields{{"outcome", Outcome}, {"status", Response.m_Status}};
  if (Code == ExitCode::Done)
    Fields["body"] = Response.m_Body;
  else
    addBody(Fields, Response.m_Body);
  Fields["request"] = RequestId;
  if (Code == ExitCode::Done)
    return makeResult(Code, Fields, Response.m_Body + '\n');
  return makeResult(Code, Fields);
}

CommandResult sendRequest(const RequestOptions &Options) {
  const Client Entry({Options.m_Entry});
  const ClientRequest Request{
      {Options.m_Service, Options.m_Team, Options.m_DeadlineMs, Options.m_Need},
      Options.m_NonIdempotent,
      Options.m_Key,
      Options.m_Body};
  return classifyAnswer([&] { return Entry.request(Request); });
}

CommandResult submitJob(const std::string &Entry, const JobFile &Job) {
  const Client Target({Entry});
  const Size Need{wholeCores(Job.m_Cores), Job.m_MemoryMiB, Job.m_Accelerators};
  const ClientJob Submitted{{Job.m_Service, Job.m_Team, Job.m_DeadlineMs, Need},
                            Job.m_Tasks};
  return classifyAnswer([&] { return Target.submit(Submitted); });
}

CommandResult cancelRequest(const std::string &Entry, const std::string &Id) {
  const HttpCall Call = makeOperatorCall(Entry, "DELETE", "/v1/requests/" + Id);
  return callEntry(Call, Id, [&Id](const HttpResponse &Response) {
    if (Response.m_Status != Accepted)
      return unexpectedStatus(Response);
    return makeResult(ExitCode::Done, {{"cancelled", Id}});
  });
}

CommandResult showStatus(const std::string &Entry) {
  const HttpCall Call = makeOperatorCall(Entry, "GET", "/v1/status");
  return callEntry(Call, "", [](const HttpResponse &Response) {
    if (Response.m_Status != Ok)
      return unexpectedStatus(Response);
    Json Fields = Json::object();
    addBody(Fields, Response.m_Body);
    return makeResult(ExitCode::Done, Fields);
  });
}

CommandResult showAgents(const std::string &Entry) {
  const HttpCall Call = makeOperatorCall(Entry, "GET", "/v1/agents");
  return callEntry(Call, "", [](const HttpResponse &Response) {
    const Json Page = Json::parse(Response.m_Body, nullptr, false);
    if (Response.m_Status != Ok || !Page.is_object())
      return unexpectedStatus(Response);
    std::string Text;
    for (const Json &Agent : Page["agents"]) {
      for (const auto &[Key, Value] : Agent.items())
        Text += Key + '=' +
                (Value.is_string() ? Value.get<std::string>() : Value.dump()) +
                ' ';
      Text.back() = '\n';
    }
    return makeResult(ExitCode::Done, Page, Text);
  });
}

std::optional<ConfigTransfer> fetchConfig(const std::string &Entry,
                                          CommandResult &Failure) {
  const HttpCall Call = makeOperatorCall(Entry, "GET", "/v1/config");
  std::optional<ConfigTransfer> State;
  Failure = callEntry(Call, "", [&State](const HttpResponse &Response) {
    const Json Body = Json::parse(Response.m_Body, nullptr, false);
    if (Response.m_Status != Ok || !Body.is_object())
      return unexpectedStatus(Response);
    try {
      State = ConfigTransfer{Body.at("version").get<ConfigVersion>(),
                             Body.at("offset").get<std::uint64_t>(),
                             Body.at("preset").get<std::string>(),
                             Body.at("document").get<std::string>()};
    } catch (const std::exception &) {
      return unexpectedStatus(Response);
    }
    return CommandResult{};
  });
  return State;
}

} // namespace cyclamencroft
