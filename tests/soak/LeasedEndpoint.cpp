// Orders, leases and lists of one endpoint.
#include "soak/LeasedEndpoint.h"

#include "platform/EndpointWire.h"
#include "soak/HttpText.h"
#include "soak/Later.h"
#include "soak/SoakSettings.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamencroft::soak {
namespace {

using nlohmann::json;
using How = EndpointFault::How;
using std::chrono::milliseconds;

constexpr unsigned Percent = 100;
/// Part of the orders that are late, or whose answers are lost, in percent.
constexpr unsigned LatePercent = 30;
constexpr unsigned LostPercent = 15;
constexpr std::uint32_t EarliestLateMs = 1000;
constexpr std::uint32_t LateSpreadMs = 4000;
constexpr int SlowFactor = 5;
constexpr Duration RestartPause = milliseconds(200);
constexpr Duration FailsAfter = milliseconds(5);
/// What an earlier agent process was ahead by.
constexpr std::uint64_t TokenJump = 3'000'000;

const char *nameOf(RunEnd End) {
  switch (End) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Lapsed:
    return "lapsed";
  default:
    return "stopped";
  }
}

/// The run time stands in the specification: "run-ms=N", and "hopeless" when
/// each run fails.
Duration runTimeIn(const std::string &Specification) {
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
  ++m_Lives;
  m_Ids += NewId ? 1 : 0;
  m_BornAt = RuntimeClock::now();
  m_StartedAtMs = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  m_Sequence = 0;
  m_Token = 0;
  m_LeaseEnd = 0;
  m_Fenced.clear();
  m_Ended.clear();
  m_EndsListed = 0;
  m_DrainAckAt.reset();
  m_Server = std::make_unique<HttpServer>(
      m_Io, m_Options.m_Listen,
      [this](const ExchangePtr &Exchange) { serve(Exchange); },
      HttpServer::Limits{});
  m_Observer.m_Up(m_Options.m_Name);
  sendHeartbeat();
}

/// The listener of the life before takes a moment to close.
void LeasedEndpoint::startAgain(bool NewId) {
  runAfter(m_Io, RestartPause, [this, NewId] {
    if (!has(How::Crash))
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
  m_Observer.m_Died(m_Options.m_Name);
}

void LeasedEndpoint::begin(How Added) {
  m_Faults.insert(Added);
  if (Added == How::Crash)
    crash();
  if (Added == How::TokenJump)
    m_Token += TokenJump;
}

void LeasedEndpoint::end(How Removed) {
  m_Faults.erase(m_Faults.find(Removed));
  if (Removed == How::Replace && m_Server) {
    HttpCall Goodbye;
    Goodbye.m_Address = m_Options.m_AgentAddress;
    Goodbye.m_Method = "DELETE";
    Goodbye.m_Target =
        "/-/instances/" + m_Options.m_Name + '-' + std::to_string(m_Ids);
    m_Heartbeats.call(std::move(Goodbye), [](const HttpOutcome &) {});
    crash();
  }
  startAgain(Removed == How::Replace);
}

std::int64_t LeasedEndpoint::clock() const {
  const auto Real =
      std::chrono::duration<double, std::milli>(RuntimeClock::now() - m_BornAt);
  return static_cast<std::int64_t>(Real.count() * m_Options.m_ClockRate);
}

void LeasedEndpoint::serve(const ExchangePtr &Exchange) {
  if (has(How::Silence)) {
    m_Unanswered.push_back(Exchange);
    return;
  }
  const bool IsOrder = pathOf(Exchange->request()) != "/-/hold";
  if (IsOrder && has(How::LateOrders) &&
      m_Random.below(Percent) < LatePercent) {
    m_Unanswered.push_back(Exchange);
    return later(milliseconds(EarliestLateMs + m_Random.below(LateSpreadMs)),
                 [this, Exchange] { carryOut(Exchange, false); });
  }
  const bool Lost =
      has(How::LostAnswers) && m_Random.below(Percent) < LostPercent;
  carryOut(Exchange, !Lost);
}

void LeasedEndpoint::carryOut(const ExchangePtr &Exchange, bool Answered) {
  if (!Answered)
    m_Unanswered.push_back(Exchange);
  const HttpRequest &Request = Exchange->request();
  const std::string Id = m_Options.m_Name + '-' + std::to_string(m_Ids);
  const json Order = json::parse(Request.body(), nullptr, false);
  const std::string Path = pathOf(Request);
  HttpResponse Response;
  if (textOf(Request["Cyclamencroft-Expected-Instance"]) != Id)
    Response = jsonResponse(421, json::object());
  else if (Order.at("fencing_token").get<std::uint64_t>() < m_Token)
    Response = refusal("fence");
  else {
    m_Token = Order.at("fencing_token").get<std::uint64_t>();
    if (Path == "/-/hold")
      return hold(Exchange, Order, Answered);
    Response = Path == "/-/run-start" ? start(Order) : stop(Order);
  }
  if (Answered)
    Exchange->respond(std::move(Response));
}

HttpResponse LeasedEndpoint::start(const json &Order) {
  const auto Task = platform::readTaskName(Order.at("task").get<std::string>());
  const RunName Name{Task.value_or(TaskName{}),
                     Order.at("run").get<std::uint32_t>()};
  const auto LeaseEnd = Order.at("deadline_ms").get<std::int64_t>();
  if (LeaseEnd <= clock())
    return refusal("late");
  extendLease(LeaseEnd);
  if (m_Runs.count(Name) == 0) {
    if (Name.m_Number <= m_Fenced[Name.m_Task])
      return refusal("old");
    begin(Name, Order.at("specification").get<std::string>());
  }
  return jsonResponse(200, {{"clock_ms", clock()}});
}

void LeasedEndpoint::begin(const RunName &Name,
                           const std::string &Specification) {
  Run &Begun = m_Runs[Name];
  m_Observer.m_Started(m_Options.m_Name, Name, Specification);
  const bool Hopeless = Specification.find("hopeless") != std::string::npos;
  Duration Time = runTimeIn(Specification);
  if (has(How::Slow))
    Time *= SlowFactor;
  if (has(How::FailAll))
    return endLater(Name, Begun, FailsAfter, RunEnd::Failed);
  if (!has(How::StandStill))
    endLater(Name, Begun, Time, Hopeless ? RunEnd::Failed : RunEnd::Done);
}

HttpResponse LeasedEndpoint::stop(const json &Order) {
  const auto Task = platform::readTaskName(Order.at("task").get<std::string>());
  const RunName Name{Task.value_or(TaskName{}),
                     Order.at("run").get<std::uint32_t>()};
  std::uint32_t &Fenced = m_Fenced[Name.m_Task];
  Fenced = std::max(Fenced, Name.m_Number);
  const auto Found = m_Runs.find(Name);
  if (Found != m_Runs.end() && !std::exchange(Found->second.m_Stopping, true))
    endLater(Name, Found->second, Bounds::StopTime / 2, RunEnd::Stopped);
  return jsonResponse(200, {{"clock_ms", clock()}});
}

void LeasedEndpoint::endLater(const RunName &Name, Run &Ending, Duration Time,
                              RunEnd End) {
  Ending.m_Timer = std::make_unique<RuntimeTimer>(m_Io);
  Ending.m_Timer->expires_after(Time);
  Ending.m_Timer->async_wait([this, Name, End, Life = m_Lives](
                                 const boost::system::error_code &Fault) {
    if (!Fault && Life == m_Lives)
      finish(Name, End);
  });
}

void LeasedEndpoint::finish(const RunName &Name, RunEnd End) {
  if (m_Runs.erase(Name) == 0)
    return;
  std::uint32_t &Fenced = m_Fenced[Name.m_Task];
  Fenced = std::max(Fenced, Name.m_Number);
  m_Ended.push_back({++m_EndsListed, Name, End});
  m_Observer.m_Ended(m_Options.m_Name, Name, End);
  wakeHolds();
}

void LeasedEndpoint::hold(const ExchangePtr &Exchange, const json &Order,
                          bool Answered) {
  const auto Seen = Order.at("last_seen").get<std::uint64_t>();
  m_Ended.remove_if([Seen](const Ended &E) { return E.m_Number <= Seen; });
  if (Order.contains("deadline_ms"))
    extendLease(Order.at("deadline_ms").get<std::int64_t>());
  if (!Answered)
    return;
  const auto Wait = milliseconds(Order.value("wait_ms", 0));
  m_Holds.push_back({Exchange, RuntimeClock::now() + Wait});
  wakeHolds();
}

void LeasedEndpoint::wakeHolds() {
  TimePoint Next = TimePoint::max();
  for (auto Each = m_Holds.begin(); Each != m_Holds.end();) {
    const bool Due = !m_Ended.empty() || RuntimeClock::now() >= Each->m_Until;
    if (Due && has(How::Silence))
      m_Unanswered.push_back(Each->m_Exchange);
    else if (Due)
      Each->m_Exchange->respond(lists());
    else
      Next = std::min(Next, Each->m_Until);
    Each = Due ? m_Holds.erase(Each) : std::next(Each);
  }
  if (Next == TimePoint::max())
    return;
  m_HoldTimer.expires_at(Next);
  m_HoldTimer.async_wait([this](const boost::system::error_code &Fault) {
    if (!Fault)
      wakeHolds();
  });
}

HttpResponse LeasedEndpoint::lists() const {
  json Running = json::array();
  for (const auto &[Name, Each] : m_Runs)
    Running.push_back(
        {platform::taskText(Name.m_Task), Name.m_Number, "", 100, 0});
  json Ends = json::array();
  for (const Ended &Each : m_Ended)
    Ends.push_back({Each.m_Number, platform::taskText(Each.m_Run.m_Task),
                    Each.m_Run.m_Number, nameOf(Each.m_How), ""});
  return jsonResponse(200, {{"clock_ms", clock()},
                            {"born", m_StartedAtMs},
                            {"running", Running},
                            {"ended", Ends}});
}

HttpResponse LeasedEndpoint::refusal(const char *Reason) const {
  return jsonResponse(409, {{"clock_ms", clock()}, {"reason", Reason}});
}

void LeasedEndpoint::extendLease(std::int64_t End) {
  const auto Longest =
      std::chrono::duration_cast<milliseconds>(Bounds::LongestLease).count();
  m_LeaseEnd = std::max(m_LeaseEnd, std::min(End, clock() + Longest));
  checkLease();
}

void LeasedEndpoint::checkLease() {
  const std::int64_t Left = m_LeaseEnd - clock();
  if (Left <= 0) {
    while (!m_Runs.empty())
      finish(m_Runs.begin()->first, RunEnd::Lapsed);
    return;
  }
  m_LeaseTimer.expires_after(milliseconds(static_cast<std::int64_t>(
      std::ceil(static_cast<double>(Left) / m_Options.m_ClockRate))));
  m_LeaseTimer.async_wait([this](const boost::system::error_code &Fault) {
    if (!Fault)
      checkLease();
  });
}

void LeasedEndpoint::sendHeartbeat() {
  m_HeartbeatTimer.expires_after(m_Options.m_HeartbeatInterval);
  m_HeartbeatTimer.async_wait([this](const boost::system::error_code &Fault) {
    if (!Fault)
      sendHeartbeat();
  });
  if (has(How::Silence))
    return;
  const bool Drains = has(How::Replace);
  HttpCall Beat;
  Beat.m_Address = m_Options.m_AgentAddress;
  Beat.m_Method = "PUT";
  Beat.m_Target =
      "/-/instances/" + m_Options.m_Name + '-' + std::to_string(m_Ids);
  Beat.m_Headers.emplace_back("Content-Type", "application/json");
  Beat.m_Timeout = std::chrono::seconds(1);
  Beat.m_Body = json{{"service", m_Options.m_Service},
                     {"address", m_Options.m_Listen},
                     {"zone", "soak"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", Drains ? "draining" : "ready"},
                     {"cold_remaining_ms", 0},
                     {"room",
                      {{"cpu", m_Options.m_Room.m_MilliCores},
                       {"mem_mb", m_Options.m_Room.m_MemoryMiB},
                       {"gpu", 0}}},
                     {"labels", {"a", "r1"}},
                     {"clock_ms", clock()},
                     {"born", m_StartedAtMs},
                     {"sequence", ++m_Sequence}}
                    .dump();
  m_Heartbeats.call(std::move(Beat),
                    [this, Drains, Life = m_Lives](const HttpOutcome &Out) {
                      const auto *Response = std::get_if<HttpResponse>(&Out);
                      const bool Taken = Response && Response->m_Status == 200;
                      if (Taken && Drains && Life == m_Lives && !m_DrainAckAt)
                        m_DrainAckAt = RuntimeClock::now();
                    });
}

void LeasedEndpoint::later(Duration Time, std::function<void()> Step) {
  runAfter(m_Io, Time, [this, Life = m_Lives, Step = std::move(Step)] {
    if (m_Server && Life == m_Lives)
      Step();
  });
}

} // namespace cyclamencroft::soak
