// Refusals made here are final and have the outcome "not run", because the
// request never reaches the core.
#include "entry/EntryHttp.h"

#include "entry/EntryResponses.h"
#include "entry/JobRequest.h"
#include "entry/RequestHeaders.h"

#include <boost/beast/http/verb.hpp>

#include <random>

namespace cyclamencroft {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::string_view RequestPrefix = "/v1/requests/";
constexpr std::string_view RequestsSuffix = "/requests";
constexpr std::string_view JobsSuffix = "/jobs";

constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned MethodNotAllowed = 405;
constexpr unsigned TooLarge = 413;

std::uint64_t randomSeed() {
  std::random_device Device;
  return static_cast<std::uint64_t>(Device()) << 32 | Device();
}

std::uint64_t nextSplitMix(std::atomic<std::uint64_t> &State) {
  constexpr std::uint64_t Step = 0x9e3779b97f4a7c15;
  std::uint64_t Mixed = State.fetch_add(Step, std::memory_order_relaxed) + Step;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111eb;
  return Mixed ^ (Mixed >> 31);
}

std::string_view pathOf(const HttpRequest &Request) {
  const auto Target = Request.target();
  const std::string_view Path(Target.data(), Target.size());
  return Path.substr(0, Path.find('?'));
}

bool startsWith(std::string_view Text, std::string_view Start) {
  return Text.substr(0, Start.size()) == Start;
}

/// Removes \p Suffix; false when \p Text does not end with it.
bool stripSuffix(std::string_view &Text, std::string_view Suffix) {
  if (Text.size() < Suffix.size() ||
      Text.substr(Text.size() - Suffix.size()) != Suffix)
    return false;
  Text.remove_suffix(Suffix.size());
  return true;
}

/// Responds with 405 and returns false when the request has another method.
bool expectMethod(const ExchangePtr &Exchange, http::verb Method) {
  if (Exchange->request().method() == Method)
    return true;
  const auto Name = http::to_string(Method);
  HttpResponse Response =
      refusalResponse(MethodNotAllowed, {}, "method-not-allowed",
                      "valid is " + std::string(Name.data(), Name.size()));
  Response.m_Headers.emplace_back("Allow", Name);
  Exchange->respond(std::move(Response));
  return false;
}

/// RefusalReason::None when \p State admits work for the service and team.
/// \p State is null while there is no configuration.
RefusalReason refusalReasonFor(const ConfigStatePtr *State,
                               const std::string &Service,
                               const std::string &Team) {
  if (State == nullptr)
    return RefusalReason::NoConfiguration;
  const ConfigState &Current = **State;
  if (!Current.preset().m_AdmitsWork)
    return RefusalReason::PresetRefuses;
  if (Current.m_Configuration.m_Services.count(Service) == 0)
    return RefusalReason::UnknownService;
  if (!Team.empty() && Current.m_Configuration.m_Teams.count(Team) == 0)
    return RefusalReason::UnknownTeam;
  return RefusalReason::None;
}

std::string refusalDetail(RefusalReason Reason, const std::string &Service,
                          const std::string &Team) {
  switch (Reason) {
  case RefusalReason::NoConfiguration:
    return "no configuration has been received yet";
  case RefusalReason::PresetRefuses:
    return "the preset in effect takes no new work";
  case RefusalReason::UnknownService:
    return "the configuration has no service \"" + Service + "\"";
  default:
    return "the configuration has no team \"" + Team + "\"";
  }
}

} // namespace

EntryHttp::EntryHttp(const RcuPointer<ConfigStatePtr> &Config, Sink Target)
    : m_Config(Config), m_Sink(std::move(Target)), m_HighState(randomSeed()),
      m_LowState(randomSeed()) {}

void EntryHttp::handle(const ExchangePtr &Exchange) {
  const std::string_view Path = pathOf(Exchange->request());
  if (startsWith(Path, ServicePrefix))
    return handleService(Exchange, Path.substr(ServicePrefix.size()));
  if (startsWith(Path, RequestPrefix))
    return cancel(Exchange, Path.substr(RequestPrefix.size()));
  const auto Query = [&](EntryPage Page) {
    if (expectMethod(Exchange, http::verb::get))
      m_Sink.m_Query(Page, Exchange);
  };
  if (Path == "/readyz")
    return Query(EntryPage::Ready);
  if (Path == "/v1/status")
    return Query(EntryPage::Status);
  if (Path == "/v1/agents")
    return Query(EntryPage::Agents);
  if (Path == "/metrics")
    return Query(EntryPage::Metrics);
  if (Path == "/v1/config")
    return showConfig(Exchange);
  Exchange->respond(refusalResponse(NotFound, {}, "unknown-route",
                                    "no route " + std::string(Path)));
}

void EntryHttp::handleService(const ExchangePtr &Exchange,
                              std::string_view Path) {
  std::string_view Service = Path;
  const bool IsJob = stripSuffix(Service, JobsSuffix);
  const bool Known = IsJob || stripSuffix(Service, RequestsSuffix);
  if (!Known || Service.empty() || Service.find('/') != std::string_view::npos)
    return Exchange->respond(
        refusalResponse(NotFound, {}, "unknown-route",
                        "valid are /v1/services/{service}/requests and "
                        "/v1/services/{service}/jobs"));
  if (expectMethod(Exchange, http::verb::post))
    submit(Exchange, std::string(Service), IsJob);
}

void EntryHttp::submit(const ExchangePtr &Exchange, std::string Service,
                       bool IsJob) {
  const std::string &Body = Exchange->request().body();
  RequestHeaders Headers = readRequestHeaders(Exchange->request());
  RequestId Id = Headers.m_Request;
  if (Id == RequestId{})
    Id = drawRequestId();
  if (IsJob && Headers.m_Fault.empty() && !Headers.m_Key.empty())
    Headers.m_Fault = "header Cyclamencroft-Key: not valid for jobs, whose "
                      "tasks start at most once without it";
  if (!Headers.m_Fault.empty())
    return Exchange->respond(
        refusalResponse(BadRequest, Id, "malformed", Headers.m_Fault));
  if (!IsJob && Body.size() > MaxRequestBytes)
    return Exchange->respond(refusalResponse(
        TooLarge, Id, "too-large",
        "body of " + std::to_string(Body.size()) + " bytes, at most " +
            std::to_string(MaxRequestBytes)));
  if (!admits(Exchange, Id, Service, Headers.m_Team))
    return;
  const CallerId Caller{m_LastCaller.fetch_add(1, std::memory_order_relaxed) +
                        1};
  if (!IsJob)
    return m_Sink.m_Post(
        RequestArrived{Caller, Id, std::move(Service),
                       std::move(Headers.m_Team), Headers.m_NonIdempotent,
                       std::move(Headers.m_Key), Headers.m_Deadline,
                       Headers.m_Need, Headers.m_Trace, makePayload(Body)},
        Exchange);
  JobRequest Job = parseJobRequest(Body);
  if (!Job.m_Error.empty())
    return Exchange->respond(
        refusalResponse(BadRequest, Id, "malformed", Job.m_Error));
  m_Sink.m_Post(JobSubmitted{Caller, Id, std::move(Service),
                             std::move(Headers.m_Team), Headers.m_Deadline,
                             Headers.m_Need, Headers.m_Trace,
                             std::move(Job.m_Tasks)},
                Exchange);
}

bool EntryHttp::admits(const ExchangePtr &Exchange, const RequestId &Request,
                       const std::string &Service,
                       const std::string &Team) const {
  const RefusalReason Reason = m_Config.read([&](const ConfigStatePtr *State) {
    return refusalReasonFor(State, Service, Team);
  });
  if (Reason == RefusalReason::None)
    return true;
  Exchange->respond(refusalResponse(statusOf(Reason), Request, toString(Reason),
                                    refusalDetail(Reason, Service, Team)));
  return false;
}

void EntryHttp::cancel(const ExchangePtr &Exchange, std::string_view Id) {
  if (!expectMethod(Exchange, http::verb::delete_))
    return;
  const auto Request = parseRequestId(Id);
  if (!Request)
    return Exchange->respond(
        refusalResponse(BadRequest, {}, "malformed",
                        "request id \"" + std::string(Id) +
                            "\": valid are 32 hexadecimal digits"));
  m_Sink.m_Post(CancelRequested{*Request}, nullptr);
  constexpr unsigned Accepted = 202;
  Exchange->respond({Accepted, {}, ""});
}

void EntryHttp::showConfig(const ExchangePtr &Exchange) {
  if (!expectMethod(Exchange, http::verb::get))
    return;
  const ConfigStatePtr State = m_Config.read([](const ConfigStatePtr *Current) {
    return Current == nullptr ? ConfigStatePtr() : *Current;
  });
  if (State)
    return Exchange->respond(configResponse(*State));
  const RefusalReason Reason = RefusalReason::NoConfiguration;
  Exchange->respond(refusalResponse(statusOf(Reason), {}, toString(Reason),
                                    refusalDetail(Reason, {}, {})));
}

RequestId EntryHttp::drawRequestId() {
  return {nextSplitMix(m_HighState), nextSplitMix(m_LowState)};
}

} // namespace cyclamencroft
