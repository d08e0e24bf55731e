// Runs the core, the links to entries and the calls to the endpoint on one
// thread.
#include "RunAgentDaemon.h"

#include "CoreLoop.h"
#include "EntryDirectory.h"
#include "EventLoop.h"

#include "core/RuntimeTimer.h"
#include "core/StartupSignals.h"
#include "http/HttpConnectionPool.h"
#include "http/HttpServer.h"
#include "platform/EndpointWire.h"
#include "platform/StoreWire.h"
#include "runs/RunnerCore.h"
#include "store/TopicFollower.h"
#include "telemetry/EventLog.h"
#include "telemetry/Metrics.h"
#include "telemetry/ReloadSignal.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <random>
#include <utility>
#include <vector>

namespace cyclamencroft {
namespace {

namespace asio = boost::asio;

/// Timeouts of calls that start or stop a run. The endpoint is on the same
/// network segment and answers within a few ms; a call without an answer keeps
/// resources reserved that other runs could use. Start calls are repeated, so a
/// timeout that is too short costs a connection and no work.
constexpr Duration StartTimeout = std::chrono::milliseconds(30);
constexpr Duration StopTimeout = std::chrono::milliseconds(50);

/// Concurrent calls that start or stop a run. Calls that hold runs use a
/// connection of their own.
constexpr std::size_t StartStopConnections = 4;

/// Longest wait of a read of announcements at the store. An entry whose
/// announcement is missed for this long is found through the seeds.
constexpr Duration AnnouncementWait = std::chrono::seconds(3);

/// Heartbeats that an endpoint may miss in a row.
constexpr int MissedHeartbeats = 3;

/// Time to write pending messages after all runs have ended.
constexpr Duration FlushTime = std::chrono::milliseconds(100);

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;

std::uint64_t drawNumber() {
  std::random_device Source;
  constexpr unsigned HalfBits = 32;
  return (std::uint64_t{Source()} << HalfBits) | Source();
}

/// Token from the time of day: later processes on the same host get higher ones
/// unless the clock is set back. The core raises the token when the endpoint
/// refuses it.
std::uint64_t initialFencingToken() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

RunnerOptions makeOptions(const RunAgentSettings &Settings) {
  RunnerOptions Options;
  Options.m_AgentId = Settings.m_Id;
  Options.m_Incarnation = Incarnation{drawNumber()};
  Options.m_FencingToken = initialFencingToken();
  Options.m_FirstLink = firstLinkNumber();
  Options.m_EndpointLease = Settings.m_EndpointLease;
  Options.m_HeartbeatTimeout =
      (MissedHeartbeats + 1) * Settings.m_HeartbeatInterval;
  return Options;
}

/// Of the listener for the one endpoint on the agent's host.
HttpServer::Limits endpointLimits() {
  HttpServer::Limits Limits;
  Limits.m_MaxConnections = 256;
  Limits.m_ReceiveBytes = std::size_t{4} * 1024 * 1024;
  return Limits;
}

} // namespace

class RunAgentDaemon::Impl {
public:
  explicit Impl(const RunAgentSettings &Settings)
      : m_Settings(Settings), m_Core(makeOptions(Settings)),
        m_Loop(m_Io, m_Core, loopHandlers()), m_ShutdownTimer(m_Io),
        m_Signals(m_Io, SIGTERM, SIGINT), m_Reload(m_Io, Settings.m_Id),
        m_StartStopPool(m_Io, StartStopConnections), m_HoldPool(m_Io, 1),
        m_ProbePool(m_Io, 1), m_Entries(m_Io, entryHandlers()),
        m_Follower(m_Io, platform::makeTopicStore(Settings.m_StoreAddress),
                   {platform::EntriesTopic, "", AnnouncementWait},
                   [this](const KeyedRecord &Record) {
                     m_Entries.updateEntry(Record.m_Key, Record.m_Value);
                   }),
        m_EndpointServer(
            m_Io, Settings.m_EndpointListen,
            [this](const std::shared_ptr<HttpExchange> &Exchange) {
              serveEndpoint(*Exchange);
            },
            endpointLimits()),
        m_MetricsServer(
            m_Io, Settings.m_MetricsListen,
            [this](const std::shared_ptr<HttpExchange> &Exchange) {
              Exchange->respond(
                  {Ok, {{"Content-Type", "text/plain"}}, metricsPage()});
            },
            HttpServer::operatorLimits()) {}

  void run() {
    logEvent(LogLevel::Info, "started",
             {{"endpoint-listener", m_Settings.m_EndpointListen},
              {"store", m_Settings.m_StoreAddress},
              {"failure-domain", m_Settings.m_FailureDomain}});
    awaitSignal();
    m_Reload.start();
    releaseStartupSignals();
    for (const std::string &Host : m_Settings.m_SeedHosts)
      m_Entries.addSeed(Host, m_Settings.m_EntryLinkPort);
    m_Follower.start();
    runEventLoop(m_Io, "core");
    logEvent(LogLevel::Info, "stopped", {});
  }

private:
  EntryDirectory::Handlers entryHandlers() {
    EntryDirectory::Handlers Handlers;
    Handlers.m_OnOpen = [this](LinkId Link, const std::string &Address) {
      m_Loop.feed(RunnerLinkOpened{Link, Address});
    };
    Handlers.m_OnMessages = [this](LinkId Link,
                                   std::vector<LinkMessage> Messages) {
      for (LinkMessage &Message : Messages)
        m_Loop.handle(MessageReceived{Link, std::move(Message)});
      m_Loop.execute();
    };
    Handlers.m_OnClose = [this](LinkId Link) { m_Loop.feed(LinkClosed{Link}); };
    return Handlers;
  }

  using Loop = CoreLoop<RunnerCore, RunnerEvent, RunnerCommand>;

  Loop::Handlers loopHandlers() {
    Loop::Handlers Handlers;
    Handlers.m_CarryOut = [this](RunnerCommand &Command) {
      std::visit([this](auto &Typed) { carryOut(Typed); }, Command);
    };
    Handlers.m_SendFrame = [this](LinkId Link,
                                  const std::vector<LinkMessage> &Messages) {
      m_Entries.send(Link, Messages);
    };
    Handlers.m_AfterTurn = [] {};
    return Handlers;
  }

  void serveEndpoint(HttpExchange &Exchange) {
    const auto Read = platform::readAnnouncement(Exchange.request());
    if (const auto *Fault = std::get_if<std::string>(&Read)) {
      logEvent(LogLevel::Warning, "announcement-rejected",
               {{"reason", *Fault}});
      return Exchange.respond({BadRequest, {}, ""});
    }
    if (const auto *Beat = std::get_if<EndpointHeartbeat>(&Read))
      m_Loop.feed(*Beat);
    else
      m_Loop.feed(std::get<EndpointGoodbye>(Read));
    Exchange.respond({Ok, {{"Content-Type", "application/json"}}, "{}"});
  }

  void carryOut(SendMessage &Command) { m_Loop.enqueue(Command); }
  void carryOut(const CloseLink &Command) {
    m_Loop.flush();
    m_Entries.close(Command.m_Link, Command.m_Reason);
  }
  void carryOut(const CallStart &Command) {
    HttpCall Call = platform::encodeStart(Command);
    Call.m_Timeout = StartTimeout;
    const TimePoint SentAt = RuntimeClock::now();
    m_StartStopPool.call(
        std::move(Call),
        [this, SentAt, Run = Command.m_Run](const HttpOutcome &Outcome) {
          m_Metrics.observe("run_start", RuntimeClock::now() - SentAt);
          m_Loop.feed(platform::readStart(Run, Outcome));
        },
        platform::makePeerCheck(Command.m_Call));
  }
  void carryOut(const CallStop &Command) {
    HttpCall Call = platform::encodeStop(Command);
    Call.m_Timeout = StopTimeout;
    m_StartStopPool.call(
        std::move(Call),
        [this, Run = Command.m_Run](const HttpOutcome &Outcome) {
          m_Loop.feed(platform::readStop(Run, Outcome));
        },
        platform::makePeerCheck(Command.m_Call));
  }
  void carryOut(const CallHold &Command) {
    HttpCall Call = platform::encodeHold(Command);
    Call.m_Timeout = Command.m_Timeout;
    m_HoldPool.call(std::move(Call), [this, Number = Command.m_Number](
                                         const HttpOutcome &Outcome) {
      m_Loop.feed(platform::readHold(Number, Outcome));
    });
  }
  // A pool of its own: nothing may answer at the address, and hold calls must
  // not wait for that.
  void carryOut(const CallProbe &Command) {
    HttpCall Call = platform::encodeProbe(Command.m_Call);
    Call.m_Timeout = Command.m_Timeout;
    m_ProbePool.call(std::move(Call), [this, Number = Command.m_Number](
                                          const HttpOutcome &Outcome) {
      m_Loop.feed(platform::readProbe(Number, Outcome));
    });
  }
  void carryOut(const LogDecision &Command) {
    EventLog::write(LogLevel::Info, Command.m_Event, Command.m_Fields);
  }
  void carryOut(const Drained &) {
    logEvent(LogLevel::Info, "drained", {});
    m_ShutdownTimer.expires_after(FlushTime);
    m_ShutdownTimer.async_wait([this](const boost::system::error_code &Fault) {
      if (!Fault)
        m_Io.stop();
    });
  }

  std::string metricsPage() {
    const RunnerStatus Status = m_Core.status();
    m_Metrics.set("endpoint_active",
                  Status.m_Endpoint == EndpointState::Active ? 1 : 0);
    m_Metrics.set("endpoint_evacuated",
                  Status.m_Endpoint == EndpointState::Evacuated ? 1 : 0);
    m_Metrics.set("entry_links", Status.m_Links);
    m_Metrics.set("runs", Status.m_Running);
    m_Metrics.set("starts_total", Status.m_Starts);
    m_Metrics.set("start_refusals_total", Status.m_Refusals);
    m_Metrics.set("runs_done_total", Status.m_Done);
    m_Metrics.set("runs_failed_total", Status.m_Failed);
    m_Metrics.set("runs_lost_total", Status.m_Lost);
    m_Metrics.set("unanswered_calls_total", Status.m_UnansweredCalls);
    return m_Metrics.toPrometheus();
  }

  void awaitSignal() {
    m_Signals.async_wait(
        [this](const boost::system::error_code &Fault, int Number) {
          if (Fault)
            return;
          logEvent(LogLevel::Info, "signal",
                   {{"number", std::to_string(Number)}, {"effect", "drain"}});
          m_Loop.feed(ShutdownRequested{});
        });
  }

  const RunAgentSettings m_Settings;
  Metrics m_Metrics;
  asio::io_context m_Io{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_Work{
      m_Io.get_executor()};
  RunnerCore m_Core;
  Loop m_Loop;
  RuntimeTimer m_ShutdownTimer;
  asio::signal_set m_Signals;
  ReloadSignal m_Reload;
  HttpConnectionPool m_StartStopPool;
  HttpConnectionPool m_HoldPool;
  HttpConnectionPool m_ProbePool;
  EntryDirectory m_Entries;
  TopicFollower m_Follower;
  HttpServer m_EndpointServer;
  HttpServer m_MetricsServer;
};

RunAgentDaemon::RunAgentDaemon(const RunAgentSettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}

RunAgentDaemon::~RunAgentDaemon() = default;

void RunAgentDaemon::run() { m_Impl->run(); }

} // namespace cyclamencroft
