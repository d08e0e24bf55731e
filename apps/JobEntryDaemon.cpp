// Runs two threads. One serves HTTP and looks up queues, which are published to
// it through read-copy-update; the other owns the scheduler and the links.
#include "JobEntryDaemon.h"

#include "CoreLoop.h"
#include "EventLoop.h"
#include "JobCallers.h"
#include "JobEntryMetrics.h"

#include "core/RcuPointer.h"
#include "core/RuntimeTimer.h"
#include "core/StartupSignals.h"
#include "http/HttpServer.h"
#include "jobs/EvacuationTracker.h"
#include "jobs/JobCore.h"
#include "link/LinkServer.h"
#include "platform/ConfigurationWire.h"
#include "platform/JobWire.h"
#include "platform/StoreWire.h"
#include "store/TopicAnnouncer.h"
#include "store/TopicFollower.h"
#include "telemetry/EventLog.h"
#include "telemetry/Metrics.h"
#include "telemetry/ReloadSignal.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace cyclamencroft {
namespace {

namespace asio = boost::asio;

/// Time to write pending responses after all jobs have ended.
constexpr Duration FlushTime = std::chrono::milliseconds(300);

/// Short compared with the load balancer's readiness checks, 1 s apart.
constexpr Duration ReadinessInterval = std::chrono::milliseconds(20);

constexpr unsigned Ok = 200;
constexpr unsigned Unavailable = 503;
constexpr unsigned NotFound = 404;

std::uint64_t drawNumber() {
  std::random_device Source;
  constexpr unsigned HalfBits = 32;
  return (std::uint64_t{Source()} << HalfBits) | Source();
}

JobCoreOptions makeOptions(const JobEntrySettings &Settings) {
  JobCoreOptions Options;
  Options.m_EntryId = Settings.m_Id;
  Options.m_FailureDomain = Settings.m_FailureDomain;
  Options.m_Incarnation = Incarnation{drawNumber()};
  Options.m_EndpointLease = Settings.m_EndpointLease;
  Options.m_Seed = drawNumber();
  return Options;
}

HttpServer::Limits callerLimits(const JobEntrySettings &Settings) {
  HttpServer::Limits Limits;
  Limits.m_ReceiveBytes = std::size_t{Settings.m_ReceiveMiB} * 1024 * 1024;
  Limits.m_HeaderBytes = std::size_t{16} * 1024;
  Limits.m_BodyBytes = std::size_t{512} * 1024;
  Limits.m_MaxConnections = 3000;
  Limits.m_RequestTimeout = std::chrono::seconds(3);
  Limits.m_IdleTimeout = std::chrono::seconds(30);
  return Limits;
}

} // namespace

class JobEntryDaemon::Impl {
public:
  explicit Impl(const JobEntrySettings &Settings)
      : m_Settings(Settings), m_Core(makeOptions(Settings)),
        m_Loop(m_CoreIo, m_Core, loopHandlers()), m_ShutdownTimer(m_CoreIo),
        m_Signals(m_CoreIo, SIGTERM, SIGINT), m_Reload(m_CoreIo, Settings.m_Id),
        m_Links(m_CoreIo, Settings.m_LinkListen, linkHandlers()),
        m_Follower(
            m_CoreIo, platform::makeTopicStore(Settings.m_StoreAddress),
            {platform::OperatorTopic, ""},
            [this](const KeyedRecord &Record) { readRecord(Record); },
            [this](std::uint64_t End) { readEvacuations(End); }),
        m_Announcer(m_CoreIo, platform::makeTopicStore(Settings.m_StoreAddress),
                    platform::EntriesTopic,
                    {Settings.m_Id, Settings.m_LinkListen}),
        m_Callers([this](JobEvent Event) { post(std::move(Event)); }),
        m_JobServer(
            m_HttpIo, Settings.m_JobsListen,
            [this](const std::shared_ptr<HttpExchange> &Exchange) {
              serveCaller(Exchange);
            },
            callerLimits(Settings)),
        m_ReadyServer(
            m_HttpIo, Settings.m_ReadyListen,
            [this](const std::shared_ptr<HttpExchange> &Exchange) {
              Exchange->respond({m_Ready ? Ok : Unavailable, {}, ""});
            },
            HttpServer::operatorLimits()),
        m_MetricsServer(
            m_HttpIo, Settings.m_MetricsListen,
            [this](const std::shared_ptr<HttpExchange> &Exchange) {
              Exchange->respond({Ok,
                                 {{"Content-Type", "text/plain"}},
                                 m_Metrics.toPrometheus()});
            },
            HttpServer::operatorLimits()) {}

  bool run() {
    logEvent(LogLevel::Info, "started",
             {{"jobs", m_Settings.m_JobsListen},
              {"links", m_Settings.m_LinkListen},
              {"store", m_Settings.m_StoreAddress},
              {"failure-domain", m_Settings.m_FailureDomain}});
    awaitSignal();
    m_Reload.start();
    releaseStartupSignals();
    m_Follower.start();
    m_Announcer.start();
    std::thread HttpThread([this] {
      const RcuReaderThread Reader;
      runEventLoop(m_HttpIo, "http");
    });
    runEventLoop(m_CoreIo, "core");
    m_HttpIo.stop();
    HttpThread.join();
    logEvent(LogLevel::Info, "stopped",
             {{"callers-waiting", std::to_string(m_Callers.size())}});
    return m_Callers.size() == 0;
  }

private:
  // HTTP thread.

  void serveCaller(const std::shared_ptr<HttpExchange> &Exchange) {
    const HttpRequest &Request = Exchange->request();
    const auto Host = Request[boost::beast::http::field::host];
    const auto Target = Request.target();
    const std::string_view Path(Target.data(), Target.size());
    const auto Known = m_Queues.read([](const QueueTablePtr *Current) {
      return Current ? *Current : QueueTablePtr();
    });
    if (!Known)
      return Exchange->respond(platform::encodeRefusal(
          Unavailable, "no configuration yet", std::chrono::seconds(1)));
    const auto Match =
        Known->find({Host.data(), Host.size()}, Path.substr(0, Path.find('?')));
    if (!Match) {
      logEvent(LogLevel::Info, "queue-unknown",
               {{"path", std::string(Path)},
                {"config-version", std::to_string(Known->version())}});
      return Exchange->respond(
          platform::encodeRefusal(NotFound, "no such queue", {}));
    }
    if (Match->m_PathSuffix.empty())
      return countWaiting(Exchange, Match->m_Queue);
    m_Callers.handleCall(
        Exchange, Match->m_Queue, Match->m_PathSuffix,
        [this, Exchange](JobId Job) { queryState(Exchange, Job); });
  }

  void countWaiting(const std::shared_ptr<HttpExchange> &Exchange,
                    const QueuePtr &Queue) {
    asio::post(m_CoreIo, [this, Exchange, Queue] {
      Exchange->respond(
          platform::encodeWaiting(m_Core.waiting(Queue->m_Policy.m_Name)));
    });
  }

  void queryState(const std::shared_ptr<HttpExchange> &Exchange, JobId Job) {
    asio::post(m_CoreIo, [this, Exchange, Job] {
      Exchange->respond(platform::encodeState(m_Core.state(Job)));
    });
  }

  void post(JobEvent Event) {
    asio::post(m_CoreIo,
               [this, Event = std::move(Event)] { m_Loop.feed(Event); });
  }

  // Core thread.

  LinkHandlers linkHandlers() {
    LinkHandlers Handlers;
    Handlers.m_OnOpen = [](LinkId) {};
    Handlers.m_OnMessages = [this](LinkId Link,
                                   std::vector<LinkMessage> Messages) {
      for (LinkMessage &Message : Messages)
        if (auto *Hello = std::get_if<RunnerHello>(&Message))
          m_Loop.handle(RunnerConnected{Link, std::move(*Hello)});
        else
          m_Loop.handle(MessageReceived{Link, std::move(Message)});
      m_Loop.execute();
    };
    Handlers.m_OnClose = [this](LinkId Link, const std::string &) {
      m_Loop.feed(LinkClosed{Link});
    };
    return Handlers;
  }

  using Loop = CoreLoop<JobCore, JobEvent, JobCommand>;

  Loop::Handlers loopHandlers() {
    Loop::Handlers Handlers;
    Handlers.m_CarryOut = [this](JobCommand &Command) {
      std::visit([this](auto &Typed) { carryOut(Typed); }, Command);
    };
    Handlers.m_SendFrame = [this](LinkId Link,
                                  const std::vector<LinkMessage> &Messages) {
      m_Links.send(Link, Messages);
    };
    Handlers.m_AfterTurn = [this] { checkReadiness(); };
    return Handlers;
  }

  void carryOut(JobAnswer &Answer) {
    const auto Latency = m_Callers.answer(Answer);
    if (Latency)
      m_Metrics.observe("job_answer", *Latency);
  }
  void carryOut(SendMessage &Command) { m_Loop.enqueue(Command); }
  void carryOut(const CloseLink &Command) {
    m_Loop.flush();
    m_Links.close(Command.m_Link, Command.m_Reason);
  }
  void carryOut(ConfigReceived &Command) {
    KeyedRecord Copy{platform::ConfigurationKey, std::move(Command.m_Document),
                     Command.m_Offset};
    asio::post(m_CoreIo,
               [this, Copy = std::move(Copy)] { adopt(Copy, "agent"); });
  }
  void carryOut(const LogDecision &Command) {
    EventLog::write(LogLevel::Info, Command.m_Event, Command.m_Fields);
  }
  void carryOut(const Drained &) {
    logEvent(LogLevel::Info, "drained", {});
    m_ShutdownTimer.expires_after(FlushTime);
    m_ShutdownTimer.async_wait([this](const boost::system::error_code &Fault) {
      if (!Fault)
        m_CoreIo.stop();
    });
  }

  /// Limits how often the core's status is computed, because that visits every
  /// agent.
  void checkReadiness() {
    const TimePoint Now = RuntimeClock::now();
    if (Now < m_NextReadinessCheck)
      return;
    m_NextReadinessCheck = Now + ReadinessInterval;
    updateReadiness();
  }

  void updateReadiness() {
    const JobCoreStatus Status = m_Core.status();
    const bool Ready = m_Adopted && !m_Stopping && Status.m_ActiveEndpoints > 0;
    if (m_Ready.exchange(Ready) != Ready)
      logEvent(LogLevel::Info, "readiness",
               {{"ready", Ready ? "yes" : "no"},
                {"config-version",
                 std::to_string(m_Adopted ? m_Adopted->version() : 0)},
                {"endpoints", std::to_string(Status.m_ActiveEndpoints)},
                {"stopping", m_Stopping ? "yes" : "no"}});
    updateMetrics(Status);
  }

  void updateMetrics(const JobCoreStatus &Status) {
    const TimePoint Now = RuntimeClock::now();
    if (Now < m_NextMetricsUpdate)
      return;
    m_NextMetricsUpdate = Now + std::chrono::seconds(1);
    m_Metrics.set("config_version", m_Adopted ? m_Adopted->version() : 0);
    m_Metrics.set("ready", m_Ready ? 1 : 0);
    exportStatus(m_Metrics, Status);
    exportRefusals(m_Metrics, m_JobServer.refusals());
  }

  /// Handles a record of the operators' topic.
  void readRecord(const KeyedRecord &Record) {
    if (Record.m_Key == platform::ConfigurationKey)
      return adopt(Record, "store");
    if (const auto Domain = platform::evacuatedDomainOf(Record.m_Key))
      m_Evacuations.apply(*Domain, !Record.m_Value.empty(), Record.m_Offset);
  }

  void readEvacuations(std::uint64_t End) {
    if (const auto View = m_Evacuations.advance(End))
      m_Loop.feed(EvacuationsRead{*View});
  }

  void adopt(const KeyedRecord &Record, const char *Source) {
    const auto Read = platform::readConfiguration(Record.m_Value);
    if (const auto *Fault = std::get_if<std::string>(&Read)) {
      logEvent(LogLevel::Error, "config-rejected",
               {{"source", Source}, {"reason", *Fault}});
      return;
    }
    const auto &New = std::get<QueueTablePtr>(Read);
    // Concurrent reads may complete out of order and must not restore an older
    // version.
    if (m_Adopted && New->version() <= m_Adopted->version())
      return;
    m_Adopted = New;
    m_Queues.replace(std::make_unique<const QueueTablePtr>(New));
    logEvent(LogLevel::Info, "config-adopted",
             {{"version", std::to_string(New->version())},
              {"source", Source},
              {"queues", std::to_string(New->size())},
              {"offset", std::to_string(Record.m_Offset)}});
    m_Loop.feed(ConfigInForce{New->version(), Record.m_Offset, Record.m_Value});
    updateReadiness();
  }

  void awaitSignal() {
    m_Signals.async_wait([this](const boost::system::error_code &Fault,
                                int Number) {
      if (Fault)
        return;
      logEvent(LogLevel::Info, "signal",
               {{"number", std::to_string(Number)},
                {"linger-ms",
                 std::to_string(m_Settings.m_ShutdownDelay.count() / 1000)}});
      m_Stopping = true;
      updateReadiness();
      // A caller that kept its connection open would be disconnected at the
      // end.
      m_JobServer.closeAfterResponses();
      m_ShutdownTimer.expires_after(m_Settings.m_ShutdownDelay);
      m_ShutdownTimer.async_wait(
          [this](const boost::system::error_code &Cancelled) {
            if (Cancelled)
              return;
            m_JobServer.stopAccepting();
            m_Loop.feed(ShutdownRequested{});
          });
    });
  }

  const JobEntrySettings m_Settings;
  Metrics m_Metrics;
  /// Whether the load balancer may send connections; read by the HTTP thread.
  std::atomic<bool> m_Ready{false};
  /// Written by the core thread, read by the HTTP thread.
  RcuPointer<QueueTablePtr> m_Queues;
  /// Same table as in m_Queues, for use by the core thread.
  QueueTablePtr m_Adopted;
  asio::io_context m_CoreIo{1};
  asio::io_context m_HttpIo{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_CoreWork{
      m_CoreIo.get_executor()};
  asio::executor_work_guard<asio::io_context::executor_type> m_HttpWork{
      m_HttpIo.get_executor()};

  JobCore m_Core;
  Loop m_Loop;
  TimePoint m_NextMetricsUpdate{};
  TimePoint m_NextReadinessCheck{};
  RuntimeTimer m_ShutdownTimer;
  asio::signal_set m_Signals;
  ReloadSignal m_Reload;
  bool m_Stopping = false;

  LinkServer m_Links;
  EvacuationTracker m_Evacuations;
  TopicFollower m_Follower;
  TopicAnnouncer m_Announcer;
  JobCallers m_Callers;
  HttpServer m_JobServer;
  HttpServer m_ReadyServer;
  HttpServer m_MetricsServer;
};

JobEntryDaemon::JobEntryDaemon(const JobEntrySettings &Settings)
    : m_Impl(std::make_unique<Impl>(Settings)) {}

JobEntryDaemon::~JobEntryDaemon() = default;

bool JobEntryDaemon::run() { return m_Impl->run(); }

} // namespace cyclamencroft
