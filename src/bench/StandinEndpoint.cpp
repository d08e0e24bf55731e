// Implements the runs, modes and announcements of the stand-in endpoint.
#include "bench/StandinEndpoint.h"

#include "bench/StandinListener.h"
#include "http/HttpClient.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;
using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;
using ExchangePtr = std::shared_ptr<StandinExchange>;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned NotFound = 404;
constexpr unsigned ServerError = 500;
constexpr std::array<std::string_view, 7> ModeNames{
    "normal", "fail", "straggle", "hang", "late", "truncate", "leave"};

/// Removes \p Key, a number and an optional space from the front of \p Text.
/// Returns the number, or std::nullopt when \p Text doesn't begin so.
std::optional<std::uint64_t> takeNumber(std::string_view &Text,
                                        std::string_view Key) {
  if (Text.substr(0, Key.size()) != Key)
    return std::nullopt;
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Key.size(), End, Value);
  if (Read.ec != std::errc())
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(Read.ptr - Text.data()));
  if (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  return Value;
}

} // namespace

std::optional<StandinMode> standinModeNamed(std::string_view Name) {
  const auto *Found = std::find(ModeNames.begin(), ModeNames.end(), Name);
  if (Found == ModeNames.end())
    return std::nullopt;
  return static_cast<StandinMode>(Found - ModeNames.begin());
}

std::string_view toString(StandinMode Mode) {
  return ModeNames.at(static_cast<std::size_t>(Mode));
}

class StandinEndpoint::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, StandinOptions Options)
      : m_Io(Io), m_Options(std::move(Options)), m_AnnounceTimer(Io),
        m_Listener(Io, m_Options.m_Listen,
                   [this](const ExchangePtr &Exchange) { handle(Exchange); }) {}

  std::string address() const { return m_Listener.address(); }

  void start() {
    if (!m_Options.m_AgentAddress.empty())
      announce();
  }

  void setMode(StandinMode Mode) {
    const bool IsDraining = Mode == StandinMode::Leave;
    const bool WasDraining = m_Options.m_Mode == StandinMode::Leave;
    m_Options.m_Mode = Mode;
    if (m_Options.m_AgentAddress.empty() || IsDraining == WasDraining)
      return;
    if (IsDraining)
      callAgent("DELETE", {});
    else
      announce();
  }

  void stop() {
    m_Stopped = true;
    m_AnnounceTimer.cancel();
    m_Listener.stop();
  }

  boost::asio::io_context &io() { return m_Io; }
  const StartCounts &counts() const { return m_Counts; }
  std::uint32_t peakConnections() const { return m_Listener.peakConnections(); }

private:
  /// A running task. Ends when its timer expires or the agent closes the
  /// connection.
  struct Run {
    Run(boost::asio::io_context &Io) : m_Timer(Io) {}
    Timer m_Timer;
    bool m_Ended = false;
  };

  void handle(const ExchangePtr &Exchange) {
    const StandinRequest &Request = Exchange->request();
    if (Request.m_Method == "POST" && Request.m_Target == "/run")
      return run(Exchange);
    if (Request.m_Method == "GET" && Request.m_Target == "/starts")
      return Exchange->respond(Ok, startsJson());
    if (Request.m_Method == "GET" && Request.m_Target == "/tasks")
      return Exchange->respond(Ok, Json(m_Counts.byTask()).dump());
    if (Request.m_Method == "POST" && Request.m_Target == "/mode")
      return changeMode(*Exchange);
    Exchange->respond(NotFound, "no such path\n");
  }

  void run(const ExchangePtr &Exchange) {
    const StandinRequest &Request = Exchange->request();
    m_Counts.start(Request.m_RequestId + "/" + Request.m_TaskIndex);
    const auto Started = std::make_shared<Run>(m_Io);
    Exchange->onDisconnect([Self = shared_from_this(), Started] {
      Self->endRun(*Started, true);
      Started->m_Timer.cancel();
    });
    if (m_Options.m_Mode == StandinMode::Hang)
      return;
    Started->m_Timer.expires_after(runTime(Request.m_Body));
    Started->m_Timer.async_wait([Self = shared_from_this(), Started, Exchange](
                                    const boost::system::error_code &Fault) {
      if (!Fault && Self->endRun(*Started, false))
        Self->sendResponse(*Exchange);
    });
  }

  /// Returns false when the run had already ended.
  bool endRun(Run &Ended, bool Aborted) {
    if (std::exchange(Ended.m_Ended, true))
      return false;
    m_Counts.end(Aborted);
    return true;
  }

  Duration runTime(std::string_view Body) const {
    const auto Milliseconds = takeNumber(Body, "run-ms=");
    const Duration Requested =
        Milliseconds ? Duration(std::chrono::milliseconds(*Milliseconds))
                     : m_Options.m_RunTime;
    switch (m_Options.m_Mode) {
    case StandinMode::Fail:
      return Duration::zero();
    case StandinMode::Straggle:
      return Requested * m_Options.m_StragglerFactor;
    case StandinMode::Late:
      return Requested + m_Options.m_ExtraDelay;
    default:
      return Requested;
    }
  }

  void sendResponse(StandinExchange &Exchange) const {
    const StandinRequest &Request = Exchange.request();
    std::string Body = "request=" + Request.m_RequestId +
                       " task=" + Request.m_TaskIndex + "\n";
    std::string_view Rest = Request.m_Body;
    takeNumber(Rest, "run-ms=");
    if (const auto Bytes = takeNumber(Rest, "answer-bytes="))
      Body.resize(std::max<std::size_t>(Body.size(), *Bytes), '.');
    if (m_Options.m_Mode == StandinMode::Truncate)
      return Exchange.respondTruncated(std::move(Body));
    const bool Fails = m_Options.m_Mode == StandinMode::Fail;
    Exchange.respond(Fails ? ServerError : Ok, std::move(Body));
  }

  void changeMode(StandinExchange &Exchange) {
    const Json Change = Json::parse(Exchange.request().m_Body, nullptr, false);
    if (!Change.is_object() || !Change.contains("mode") ||
        !Change["mode"].is_string() ||
        !standinModeNamed(Change["mode"].get<std::string>()))
      return Exchange.respond(
          BadRequest, "field 'mode' must be normal, fail, straggle, hang, "
                      "late, truncate or leave\n");
    m_Options.m_StragglerFactor =
        Change.value("factor", m_Options.m_StragglerFactor);
    if (Change.contains("late_ms"))
      m_Options.m_ExtraDelay =
          std::chrono::milliseconds(Change["late_ms"].get<std::int64_t>());
    setMode(*standinModeNamed(Change["mode"].get<std::string>()));
    Exchange.respond(Ok, "{}\n");
  }

  std::string startsJson() const {
    const StartTotals Totals = m_Counts.totals();
    return Json({{"total", Totals.m_Total},
                 {"distinct", Totals.m_Distinct},
                 {"repeated", Totals.m_Repeated},
                 {"repeats", m_Counts.repeated()},
                 {"running", Totals.m_Running},
                 {"peak_running", Totals.m_PeakRunning},
                 {"peak_connections", peakConnections()},
                 {"aborted", Totals.m_Aborted},
                 {"mode", toString(m_Options.m_Mode)}})
               .dump() +
           "\n";
  }

  void announce() {
    if (m_Stopped || m_Options.m_Mode == StandinMode::Leave)
      return;
    const Size &Sizes = m_Options.m_Size;
    callAgent("POST", Json({{"service", m_Options.m_Service},
                            {"address", address()},
                            {"slots", m_Options.m_Slots},
                            {"connections", m_Options.m_Connections},
                            {"cores", Sizes.m_MilliCores / MilliCoresPerCore},
                            {"memory_mib", Sizes.m_MemoryMiB},
                            {"accelerators", Sizes.m_Accelerators}})
                          .dump());
    m_AnnounceTimer.expires_after(m_Options.m_AnnounceInterval);
    m_AnnounceTimer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &Fault) {
          if (!Fault)
            Self->announce();
        });
  }

  // Ignores failures, since the next announcement serves as the retry.
  void callAgent(std::string Method, std::string Body) {
    HttpCall Call;
    Call.m_Address = m_Options.m_AgentAddress;
    Call.m_Method = std::move(Method);
    Call.m_Target = "/v1/endpoint";
    Call.m_Body = std::move(Body);
    Call.m_Timeout = m_Options.m_AnnounceInterval;
    httpCallAsync(m_Io, std::move(Call), [](const HttpOutcome &) {});
  }

  boost::asio::io_context &m_Io;
  StandinOptions m_Options;
  StartCounts m_Counts;
  bool m_Stopped = false;
  Timer m_AnnounceTimer;
  StandinListener m_Listener;
};

StandinEndpoint::StandinEndpoint(boost::asio::io_context &Io,
                                 StandinOptions Options)
    : m_Impl(std::make_shared<Impl>(Io, std::move(Options))) {}

StandinEndpoint::~StandinEndpoint() { stop(); }

std::string StandinEndpoint::address() const { return m_Impl->address(); }

void StandinEndpoint::start() { m_Impl->start(); }

void StandinEndpoint::setMode(StandinMode Mode) {
  boost::asio::post(m_Impl->io(),
                    [Impl = m_Impl, Mode] { Impl->setMode(Mode); });
}

StartTotals StandinEndpoint::totals() const {
  return m_Impl->counts().totals();
}

std::uint32_t StandinEndpoint::peakConnections() const {
  return m_Impl->peakConnections();
}

void StandinEndpoint::stop() { m_Impl->stop(); }

} // namespace cyclamencroft
