// Commands, leases and run reports of one endpoint.
#include "soak/LeasedEndpoint.h"

#include "platform/EndpointWire.h"
#include "soak/HttpUtil.h"
#include "soak/RunAfter.h"
#include "soak/SoakSettings.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamencroft::soak {
namespace {

using nlohmann::json;
using Type = EndpointFault::Type;
using std::chrono::milliseconds;

constexpr unsigned Percent = 100;
/// Percentages of commands that are delayed or whose responses are lost.
constexpr unsigned DelayedCommandPercent = 30;
constexpr unsigned LostResponsePercent = 15;
constexpr std::uint32_t MinCommandDelayMs = 1000;
constexpr std::uint32_t CommandDelaySpreadMs = 4000;
constexpr int SlowFactor = 5;
constexpr Duration RestartPause = milliseconds(200);
constexpr Duration FailureDelay = milliseconds(5);
/// How far the token of an earlier agent process was ahead.
constexpr std::uint64_t TokenJump = 3'000'000;
/// How much later than the endpoint a process that does not exist has started.
constexpr std::uint64_t ForeignStartLeadMs = 3'600'000;

const char *runEndName(RunEnd End) {
  switch (End) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::LeaseExpired:
    return "lapsed";
  default:
    return "stopped";
  }
}

/// Parses "run-ms=N" in a specification. A specification with "hopeless" makes
/// each of its runs fail.
Duration parseRunTime(const std::string &Specification) {
  const std::string Key = "run-ms=";
  return milliseconds(
      std::stoll(Specification.substr(Specification.find(Key) + Key.size())));
}

} // namespace

LeasedEndpoint::LeasedEndpoint(boost::asio::io_context &Io,
                               LeasedEndpointOptions Options,
                               EndpointObserver Observer)
    : m_Io(Io), m_Options(std::move(Options)), m_Observer(std::move(Observer)),
      m_Random(m_Options.m_Seed), m_Heartbeats(Io, 1), m_HeartbeatTimer(Io),
      m_LeaseTimer(Io), m_HoldTimer(Io) {}

LeasedEndpoint::~LeasedEndpoint() = default;

void LeasedEndpoint::start(bool NewId) {
  if (m_Server)
    return;
  ++m_Incarnation;
  m_InstanceNumber += NewId ? 1 : 0;
  m_ClockStartedAt = RuntimeClock::now();
  m_StartedAtMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  m_Sequence = 0;
  m_Token = 0;
  m_LeaseEndsAtMs = 0;
  m_HighestEndedRun.clear();
  m_Ended.clear();
  m_EndReportCount = 0;
  m_DrainAcknowledgedAt.reset();
  m_Server = std::make_unique<HttpServer>(
      m_Io, m_Options.m_Listen,
      [this](const ExchangePtr &Exchange) { serve(Exchange); },
      HttpServer::Limits{});
  m_Observer.m_OnStart(m_Options.m_Name);
  sendHeartbeat();
}

/// The listener of the previous incarnation takes a moment to close.
void LeasedEndpoint::restartAfterPause(bool NewId) {
  runAfter(m_Io, RestartPause, [this, NewId] {
    if (!isActive(Type::Crash))
      start(NewId);
  });
}

void LeasedEndpoint::crash() {
  if (!m_Server)
    return;
  m_HeartbeatTimer.cancel();
  m_LeaseTimer.cancel();
  m_HoldTimer.cancel();
  m_Runs.clear();
  m_Server->stop();
  m_Server.reset();
  m_Holds.clear();
  m_Unanswered.clear();
  m_Observer.m_OnExit(m_Options.m_Name);
}

void LeasedEndpoint::begin(Type Added) {
  m_Faults.insert(Added);
  if (Added == Type::Crash)
    crash();
  if (Added == Type::TokenJump)
    m_Token += TokenJump;
  if (Added == Type::ForeignAnnouncements)
    sendForeignAnnouncements();
}

void LeasedEndpoint::end(Type Removed) {
  m_Faults.erase(m_Faults.find(Removed));
  if (Removed == Type::Replace && m_Server) {
    HttpCall Goodbye;
    Goodbye.m_Address = m_Options.m_AgentAddress;
    Goodbye.m_Method = "DELETE";
    Goodbye.m_Target = "/-/instances/" + id();
    m_Heartbeats.call(std::move(Goodbye), [](const HttpOutcome &) {});
    crash();
  }
  restartAfterPause(Removed == Type::Replace);
}

std::int64_t LeasedEndpoint::clock() const {
  const auto Real = std::chrono::duration<double, std::milli>(
      RuntimeClock::now() - m_ClockStartedAt);
  return static_cast<std::int64_t>(Real.count() * m_Options.m_ClockRate);
}

void LeasedEndpoint::serve(const ExchangePtr &Exchange) {
  if (isActive(Type::Unresponsive)) {
    m_Unanswered.push_back(Exchange);
    return;
  }
  const bool IsCommand = requestPath(Exchange->request()) != "/-/hold";
  if (IsCommand && isActive(Type::DelayedCommands) &&
      m_Random.below(Percent) < DelayedCommandPercent) {
    m_Unanswered.push_back(Exchange);
    return runLater(
        milliseconds(MinCommandDelayMs + m_Random.below(CommandDelaySpreadMs)),
        [this, Exchange] { execute(Exchange, false); });
  }
  const bool Lost = isActive(Type::LostResponses) &&
                    m_Random.below(Percent) < LostResponsePercent;
  execute(Exchange, !Lost);
}

void LeasedEndpoint::execute(const ExchangePtr &Exchange, bool Answered) {
  if (!Answered)
    m_Unanswered.push_back(Exchange);
  const HttpRequest &Request = Exchange->request();
  const std::string Id = id();
  const json Command = json::parse(Request.body(), nullptr, false);
  const std::string Path = requestPath(Request);
  HttpResponse Response;
  if (toStringView(Request["Cyclamencroft-Expected-Instance"]) != Id)
    Response = jsonResponse(421, json::object());
  else if (Command.at("fencing_token").get<std::uint64_t>() < m_Token)
    Response = refusal("fence");
  else {
    m_Token = Command.at("fencing_token").get<std::uint64_t>();
    if (Path == "/-/hold")
      return hold(Exchange, Command, Answered);
    Response = Path == "/-/run-start" ? start(Command) : stop(Command);
  }
  if (Answered)
    Exchange->respond(std::move(Response));
}

HttpResponse LeasedEndpoint::start(const json &Command) {
  const auto Task =
      platform::readTaskName(Command.at("task").get<std::string>());
  const RunName Name{Task.value_or(TaskName{}),
                     Command.at("run").get<std::uint32_t>()};
  const auto LeaseEnd = Command.at("deadline_ms").get<std::int64_t>();
  if (LeaseEnd <= clock())
    return refusal("late");
  extendLease(LeaseEnd);
  if (m_Runs.count(Name) == 0) {
    if (Name.m_Number <= m_HighestEndedRun[Name.m_Task])
      return refusal("old");
    begin(Name, Command.at("specification").get<std::string>());
  }
  return jsonResponse(200, {{"clock_ms", clock()}});
}

void LeasedEndpoint::begin(const RunName &Name,
                           const std::string &Specification) {
  Run &Begun = m_Runs[Name];
  m_Observer.m_Started(m_Options.m_Name, Name, Specification);
  const bool AlwaysFails = Specification.find("hopeless") != std::string::npos;
  Duration Time = parseRunTime(Specification);
  if (isActive(Type::Slow))
    Time *= SlowFactor;
  if (isActive(Type::FailAll))
    return endLater(Name, Begun, FailureDelay, RunEnd::Failed);
  if (!isActive(Type::Hang))
    endLater(Name, Begun, Time, AlwaysFails ? RunEnd::Failed : RunEnd::Done);
}

HttpResponse LeasedEndpoint::stop(const json &Command) {
  const auto Task =
      platform::readTaskName(Command.at("task").get<std::string>());
  const RunName Name{Task.value_or(TaskName{}),
                     Command.at("run").get<std::uint32_t>()};
  std::uint32_t &HighestEndedRun = m_HighestEndedRun[Name.m_Task];
  HighestEndedRun = std::max(HighestEndedRun, Name.m_Number);
  const auto Found = m_Runs.find(Name);
  if (Found != m_Runs.end() && !std::exchange(Found->second.m_Stopping, true))
    endLater(Name, Found->second, Bounds::MaxStopTime / 2, RunEnd::Stopped);
  return jsonResponse(200, {{"clock_ms", clock()}});
}

void LeasedEndpoint::endLater(const RunName &Name, Run &Ending, Duration Time,
                              RunEnd End) {
  Ending.m_Timer = std::make_unique<RuntimeTimer>(m_Io);
  Ending.m_Timer->expires_after(Time);
  Ending.m_Timer->async_wait([this, Name, End, Incarnation = m_Incarnation](
                                 const boost::system::error_code &ErrorCode) {
    if (!ErrorCode && Incarnation == m_Incarnation)
      finish(Name, End);
  });
}

void LeasedEndpoint::finish(const RunName &Name, RunEnd End) {
  if (m_Runs.erase(Name) == 0)
    return;
  std::uint32_t &HighestEndedRun = m_HighestEndedRun[Name.m_Task];
  HighestEndedRun = std::max(HighestEndedRun, Name.m_Number);
  m_Ended.push_back({++m_EndReportCount, Name, End});
  m_Observer.m_Ended(m_Options.m_Name, Name, End);
  answerHolds();
}

void LeasedEndpoint::hold(const ExchangePtr &Exchange, const json &Command,
                          bool Answered) {
  const auto Seen = Command.at("last_seen").get<std::uint64_t>();
  m_Ended.remove_if([Seen](const EndReport &E) { return E.m_Number <= Seen; });
  if (Command.contains("deadline_ms"))
    extendLease(Command.at("deadline_ms").get<std::int64_t>());
  if (!Answered)
    return;
  const auto Wait = milliseconds(Command.value("wait_ms", 0));
  m_Holds.push_back({Exchange, RuntimeClock::now() + Wait});
  answerHolds();
}

void LeasedEndpoint::answerHolds() {
  TimePoint Next = TimePoint::max();
  for (auto Each = m_Holds.begin(); Each != m_Holds.end();) {
    const bool DueIndex =
        !m_Ended.empty() || RuntimeClock::now() >= Each->m_ExpiresAt;
    if (DueIndex && isActive(Type::Unresponsive))
      m_Unanswered.push_back(Each->m_Exchange);
    else if (DueIndex)
      Each->m_Exchange->respond(runReport());
    else
      Next = std::min(Next, Each->m_ExpiresAt);
    Each = DueIndex ? m_Holds.erase(Each) : std::next(Each);
  }
  if (Next == TimePoint::max())
    return;
  m_HoldTimer.expires_at(Next);
  m_HoldTimer.async_wait([this](const boost::system::error_code &ErrorCode) {
    if (!ErrorCode)
      answerHolds();
  });
}

HttpResponse LeasedEndpoint::runReport() const {
  json Running = json::array();
  for (const auto &[Name, Each] : m_Runs)
    Running.push_back(
        {platform::encodeTaskName(Name.m_Task), Name.m_Number, "", 100, 0});
  json Ends = json::array();
  for (const EndReport &Each : m_Ended)
    Ends.push_back({Each.m_Number, platform::encodeTaskName(Each.m_Run.m_Task),
                    Each.m_Run.m_Number, runEndName(Each.m_End), ""});
  return jsonResponse(200, {{"clock_ms", clock()},
                            {"born", m_StartedAtMs},
                            {"running", Running},
                            {"ended", Ends}});
}

HttpResponse LeasedEndpoint::refusal(const char *Reason) const {
  return jsonResponse(409, {{"clock_ms", clock()}, {"reason", Reason}});
}

void LeasedEndpoint::extendLease(std::int64_t End) {
  const auto MaxLeaseMs =
      std::chrono::duration_cast<milliseconds>(Bounds::MaxLease).count();
  m_LeaseEndsAtMs =
      std::max(m_LeaseEndsAtMs, std::min(End, clock() + MaxLeaseMs));
  checkLease();
}

void LeasedEndpoint::checkLease() {
  const std::int64_t Left = m_LeaseEndsAtMs - clock();
  if (Left <= 0) {
    while (!m_Runs.empty())
      finish(m_Runs.begin()->first, RunEnd::LeaseExpired);
    return;
  }
  m_LeaseTimer.expires_after(milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Left) / m_Options.m_ClockRate))));
  m_LeaseTimer.async_wait([this](const boost::system::error_code &ErrorCode) {
    if (!ErrorCode)
      checkLease();
  });
}

std::string LeasedEndpoint::id() const {
  return m_Options.m_Name + '-' + std::to_string(m_InstanceNumber);
}

HttpCall LeasedEndpoint::announcementCall(const std::string &Id,
                                          const json &Body) const {
  HttpCall Call;
  Call.m_Address = m_Options.m_AgentAddress;
  Call.m_Method = "PUT";
  Call.m_Target = "/-/instances/" + Id;
  Call.m_Headers.emplace_back("Content-Type", "application/json");
  Call.m_Timeout = std::chrono::seconds(1);
  Call.m_Body = Body.dump();
  return Call;
}

json LeasedEndpoint::heartbeat() const {
  return {{"service", m_Options.m_Service},
          {"address", m_Options.m_Listen},
          {"zone", m_Options.m_FailureDomain},
          {"version", "v1"},
          {"slots", 8},
          {"state", isActive(Type::Replace) ? "draining" : "ready"},
          {"cold_remaining_ms", 0},
          {"room",
           {{"cpu", m_Options.m_Capacity.m_MilliCores},
            {"mem_mb", m_Options.m_Capacity.m_MemoryMiB},
            {"gpu", 0}}},
          {"labels", {"a", "r1"}},
          {"clock_ms", clock()},
          {"born", m_StartedAtMs},
          {"sequence", m_Sequence}};
}

/// An unknown endpoint, a next process at the endpoint's address, and the
/// present process at another address; none of them exists.
void LeasedEndpoint::sendForeignAnnouncements() {
  const std::string &Listen = m_Options.m_Listen;
  const std::string Elsewhere = Listen.substr(0, Listen.rfind(':')) + ":1";
  json Unknown = heartbeat();
  Unknown["service"] = "archive";
  Unknown["address"] = Elsewhere;
  Unknown["born"] = m_StartedAtMs + ForeignStartLeadMs;
  json Next = heartbeat();
  Next["born"] = m_StartedAtMs + ForeignStartLeadMs;
  json Moved = heartbeat();
  Moved["address"] = Elsewhere;
  Moved["sequence"] = m_Sequence + 1;
  const auto Ignored = [](const HttpOutcome &) {};
  m_Heartbeats.call(announcementCall("foreign", Unknown), Ignored);
  m_Heartbeats.call(announcementCall(id(), Next), Ignored);
  m_Heartbeats.call(announcementCall(id(), Moved), Ignored);
}

void LeasedEndpoint::sendHeartbeat() {
  m_HeartbeatTimer.expires_after(m_Options.m_HeartbeatInterval);
  m_HeartbeatTimer.async_wait(
      [this](const boost::system::error_code &ErrorCode) {
        if (!ErrorCode)
          sendHeartbeat();
      });
  if (isActive(Type::Unresponsive))
    return;
  const bool Drains = isActive(Type::Replace);
  ++m_Sequence;
  m_Heartbeats.call(
      announcementCall(id(), heartbeat()),
      [this, Drains, Incarnation = m_Incarnation](const HttpOutcome &Out) {
        const auto *Response = std::get_if<HttpResponse>(&Out);
        const bool Taken = Response && Response->m_Status == 200;
        if (Taken && Drains && Incarnation == m_Incarnation &&
            !m_DrainAcknowledgedAt)
          m_DrainAcknowledgedAt = RuntimeClock::now();
      });
}

void LeasedEndpoint::runLater(Duration Time, std::function<void()> Step) {
  runAfter(m_Io, Time,
           [this, Incarnation = m_Incarnation, Step = std::move(Step)] {
             if (m_Server && Incarnation == m_Incarnation)
               Step();
           });
}

} // namespace cyclamencroft::soak
