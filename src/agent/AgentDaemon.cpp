// Passes events to the agent's core and executes its commands. One thread does
// all of it: an agent handles at most a few hundred messages a second.
#include "cyclamencroft/AgentDaemon.h"

#include "agent/AgentHttpRoutes.h"
#include "agent/EndpointClient.h"
#include "http/HttpServer.h"
#include "link/LinkClient.h"
#include "telemetry/EventLog.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanWriter.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace cyclamencroft {
namespace {

namespace asio = boost::asio;
using Timer = asio::basic_waitable_timer<RuntimeClock>;

/// Time for the last frames to be sent before the links are closed.
constexpr Duration FlushTime = std::chrono::milliseconds(100);
constexpr std::size_t MaxHttpConnections = 64;
constexpr std::size_t MaxAnnouncementBytes = std::size_t{16} * 1024;

Incarnation drawIncarnation() {
  std::random_device Source;
  constexpr unsigned HalfBits = 32;
  return Incarnation{(std::uint64_t{Source()} << HalfBits) | Source()};
}

AgentOptions makeOptions(const AgentSettings &Settings,
                         Incarnation AgentIncarnation) {
  AgentOptions Options;
  Options.m_AgentId = Settings.m_Id;
  Options.m_Incarnation = AgentIncarnation;
  Options.m_FirstLink = firstLinkNumber();
  Options.m_FailureDomain = Settings.m_FailureDomain;
  Options.m_Rack = Settings.m_Rack;
  Options.m_Entries = static_cast<std::uint32_t>(Settings.m_Entries.size());
  Options.m_Seed = static_cast<std::uint64_t>(AgentIncarnation);
  return Options;
}

} // namespace

class AgentDaemon::Impl {
public:
  Impl(AgentSettings Settings, Incarnation AgentIncarnation)
      : m_Settings(std::move(Settings)),
        m_Core(makeOptions(m_Settings, AgentIncarnation)),
        m_Spans(m_Settings.m_SpanFile, "cyclamencroft-agent"), m_Timer(m_Io),
        m_Endpoint(m_Io, [this](RunEnded Run) { feed(std::move(Run)); }),
        m_Routes({[this](AgentEvent Event) { feed(std::move(Event)); },
                  [this] { return m_Core.status(); },
                  [this] { return prometheus(); }}) {}

  ~Impl() { stop(); }

  void start() {
    HttpServer::Limits Limits;
    Limits.m_BodyBytes = MaxAnnouncementBytes;
    Limits.m_MaxConnections = MaxHttpConnections;
    m_Http.emplace(
        m_Io, m_Settings.m_HttpListen,
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          onHttp(*Exchange);
        },
        Limits);
    m_Port = m_Http->port();
    const std::string &Listen = m_Settings.m_HttpListen;
    const std::string Address =
        Listen.substr(0, Listen.rfind(':') + 1) + std::to_string(m_Port);
    logEvent(LogLevel::Info, "listening",
             {{"id", m_Settings.m_Id}, {"http", Address}});
    for (std::size_t Index = 0; Index < m_Settings.m_Entries.size(); ++Index)
      addLink(static_cast<std::uint32_t>(Index));
    m_Thread = std::thread([this] { m_Io.run(); });
  }

  std::uint16_t port() const { return m_Port; }

  void requestShutdown() {
    asio::post(m_Io, [this] { feed(ShutdownRequested{}); });
  }

  void stop() {
    const std::lock_guard Lock(m_StopMutex);
    if (!m_Thread.joinable())
      return;
    asio::post(m_Io, [this] { closeAll(); });
    m_Thread.join();
  }

  bool wait() {
    std::unique_lock Lock(m_EndMutex);
    m_EndChanged.wait(Lock, [this] { return m_Ended; });
    return m_HasDrained;
  }

  AgentStatusReport status() const {
    const std::lock_guard Lock(m_StatusMutex);
    return m_Status;
  }

private:
  struct EntryLink {
    std::unique_ptr<LinkClient> m_Client;
    std::vector<LinkMessage> m_Outgoing;
  };
  struct OpenLink {
    std::uint32_t m_Entry = 0;
    /// Id of the link at the entry's LinkClient.
    LinkId m_ClientLink{};
  };

  // Links. Each LinkClient numbers its own links, so ids of different clients
  // may coincide; the core uses ids that are unique in the daemon.

  void addLink(std::uint32_t Entry) {
    LinkHandlers Handlers;
    Handlers.m_OnOpen = [this, Entry](LinkId Link) { onOpen(Entry, Link); };
    Handlers.m_OnMessages = [this, Entry](LinkId Link,
                                          std::vector<LinkMessage> Messages) {
      const LinkId CoreLink = coreLinkId(Entry, Link);
      for (LinkMessage &Message : Messages)
        m_Events.emplace_back(MessageReceived{CoreLink, std::move(Message)});
      drainEvents();
    };
    Handlers.m_OnClose = [this, Entry](LinkId Link, const std::string &Reason) {
      onClose(Entry, Link, Reason);
    };
    m_Links.push_back({std::make_unique<LinkClient>(
                           m_Io, m_Settings.m_Entries[Entry], Handlers),
                       {}});
    m_Links.back().m_Client->start();
  }

  void onOpen(std::uint32_t Entry, LinkId Link) {
    const LinkId CoreLink{m_NextLink++};
    m_OpenLinks.emplace(CoreLink, OpenLink{Entry, Link});
    feed(EntryLinkOpened{Entry, CoreLink});
  }

  void onClose(std::uint32_t Entry, LinkId Link, const std::string &Reason) {
    const LinkId CoreLink = coreLinkId(Entry, Link);
    m_OpenLinks.erase(CoreLink);
    logEvent(LogLevel::Warning, "link-closed",
             {{"id", m_Settings.m_Id},
              {"peer", m_Settings.m_Entries[Entry]},
              {"reason", Reason}});
    feed(LinkClosed{CoreLink});
  }

  /// The core's id for a client's link; LinkId{0}, which is the id of no link,
  /// when the link is not open.
  LinkId coreLinkId(std::uint32_t Entry, LinkId Link) const {
    for (const auto &[CoreLink, Open] : m_OpenLinks)
      if (Open.m_Entry == Entry && Open.m_ClientLink == Link)
        return CoreLink;
    return LinkId{};
  }

  // Core.

  void feed(AgentEvent Event) {
    m_Events.push_back(std::move(Event));
    drainEvents();
  }

  // Executing a command may produce further events immediately. They are queued
  // until all commands of this iteration are executed, and the messages of one
  // iteration are sent in one frame per link.
  void drainEvents() {
    if (m_Handling)
      return;
    m_Handling = true;
    while (!m_Events.empty()) {
      std::vector<AgentCommand> Commands;
      while (!m_Events.empty()) {
        const AgentEvent Event = std::move(m_Events.front());
        m_Events.pop_front();
        updateEndpoint(Event);
        m_Core.handle(RuntimeClock::now(), Event, Commands);
      }
      for (AgentCommand &Command : Commands)
        std::visit([this](auto &C) { carryOut(C); }, Command);
      flushLinks();
    }
    m_Handling = false;
    publishStatus();
    armTimer();
  }

  void updateEndpoint(const AgentEvent &Event) {
    if (const auto *Endpoint = std::get_if<EndpointAnnounced>(&Event))
      m_Endpoint.setEndpoint(Endpoint->m_Address, Endpoint->m_Connections);
  }

  void armTimer() {
    const TimePoint Next = m_Core.nextWakeup();
    if (Next == m_TimerAt)
      return;
    m_TimerAt = Next;
    m_Timer.expires_at(Next);
    if (Next == TimePoint::max())
      return;
    m_Timer.async_wait([this](const boost::system::error_code &Fault) {
      if (Fault)
        return;
      m_TimerAt = TimePoint::min();
      feed(Tick{});
    });
  }

  void carryOut(SendMessage &Command) {
    const auto Found = m_OpenLinks.find(Command.m_Link);
    if (Found == m_OpenLinks.end())
      return;
    EntryLink &Link = m_Links[Found->second.m_Entry];
    Link.m_Outgoing.push_back(std::move(Command.m_Message));
  }

  void carryOut(const CloseLink &Command) {
    flushLinks();
    const auto Found = m_OpenLinks.find(Command.m_Link);
    if (Found == m_OpenLinks.end())
      return;
    const OpenLink Open = Found->second;
    m_Links[Open.m_Entry].m_Client->close(Open.m_ClientLink, Command.m_Reason);
  }

  void carryOut(const StartRun &Command) { m_Endpoint.start(Command); }
  void carryOut(const AbortRun &Command) { m_Endpoint.abort(Command.m_Run); }

  void carryOut(LogDecision &Command) {
    Command.m_Fields.insert(Command.m_Fields.begin(), {"id", m_Settings.m_Id});
    EventLog::write(LogLevel::Info, Command.m_Event, Command.m_Fields);
  }

  void carryOut(const SpanEnded &Command) {
    m_Metrics.observe("agent_run", Command.m_End - Command.m_Start);
    m_Spans.write(Command);
  }

  void carryOut(const Drained &) {
    logEvent(LogLevel::Info, "drained", {{"id", m_Settings.m_Id}});
    auto Delay = std::make_shared<Timer>(m_Io, FlushTime);
    Delay->async_wait(
        [this, Delay](const boost::system::error_code &) { closeAll(true); });
  }

  // Called before a link is closed and at the end of each iteration.
  void flushLinks() {
    for (const auto &[CoreLink, Open] : m_OpenLinks) {
      EntryLink &Link = m_Links[Open.m_Entry];
      if (Link.m_Outgoing.empty())
        continue;
      const auto Messages = std::exchange(Link.m_Outgoing, {});
      Link.m_Client->send(Open.m_ClientLink, Messages);
    }
  }

  // HTTP.

  void onHttp(HttpExchange &Exchange) {
    const HttpRequest &Request = Exchange.request();
    const std::string Method(Request.method_string());
    const std::string Target(Request.target());
    Exchange.respond(m_Routes.handle(Method, Target, Request.body()));
  }

  std::string prometheus() {
    const AgentStatusReport Report = m_Core.status();
    m_Metrics.set("agent_ready", Report.m_Ready ? 1 : 0);
    m_Metrics.set("agent_config_version", Report.m_ConfigVersion);
    m_Metrics.set("agent_running", Report.m_Running);
    m_Metrics.set("agent_starts_total", Report.m_Starts);
    m_Metrics.set("agent_results_total", Report.m_Results);
    m_Metrics.set("agent_refusals_total", Report.m_Refusals);
    m_Metrics.set("agent_control_messages_total", Report.m_ControlMessages);
    return m_Metrics.toPrometheus();
  }

  void publishStatus() {
    const std::lock_guard Lock(m_StatusMutex);
    m_Status = m_Core.status();
  }

  void closeAll(bool HasDrained = false) {
    for (const StartRun &Interrupted : m_Endpoint.stop())
      logEvent(LogLevel::Warning, "task-interrupted",
               {{"id", m_Settings.m_Id},
                {"request", Interrupted.m_Request.toHex()},
                {"task", std::to_string(Interrupted.m_TaskIndex)}});
    for (EntryLink &Link : m_Links)
      Link.m_Client->stop();
    m_Http->stop();
    m_Timer.cancel();
    logEvent(LogLevel::Info, "stopped", {{"id", m_Settings.m_Id}});
    m_Io.stop();
    {
      const std::lock_guard Lock(m_EndMutex);
      m_Ended = true;
      m_HasDrained = HasDrained;
    }
    m_EndChanged.notify_all();
  }

  AgentSettings m_Settings;
  AgentCore m_Core;
  SpanWriter m_Spans;
  Metrics m_Metrics;
  asio::io_context m_Io{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_Work{
      m_Io.get_executor()};
  Timer m_Timer;
  /// Expiry time of m_Timer; max() when it is not armed, min() once it has
  /// fired.
  TimePoint m_TimerAt = TimePoint::max();
  EndpointClient m_Endpoint;
  AgentHttpRoutes m_Routes;
  std::optional<HttpServer> m_Http;
  std::uint16_t m_Port = 0;
  /// By the index of the entry's address in the settings.
  std::vector<EntryLink> m_Links;
  std::map<LinkId, OpenLink> m_OpenLinks;
  std::uint64_t m_NextLink = 1;
  std::deque<AgentEvent> m_Events;
  bool m_Handling = false;

  std::thread m_Thread;
  mutable std::mutex m_StatusMutex;
  AgentStatusReport m_Status;
  /// Held while the thread is joined, so that only one caller joins it.
  std::mutex m_StopMutex;
  std::mutex m_EndMutex;
  std::condition_variable m_EndChanged;
  // Guarded by m_EndMutex.
  bool m_Ended = false;
  bool m_HasDrained = false;
};

AgentDaemon::Builder::Builder(AgentSettings Settings)
    : m_Settings(std::move(Settings)), m_Incarnation(drawIncarnation()) {}

AgentDaemon::Builder &AgentDaemon::Builder::incarnation(Incarnation Value) {
  m_Incarnation = Value;
  return *this;
}

std::unique_ptr<AgentDaemon> AgentDaemon::Builder::build() const {
  return std::make_unique<AgentDaemon>(m_Settings, m_Incarnation);
}

AgentDaemon::AgentDaemon(AgentSettings Settings, Incarnation AgentIncarnation)
    : m_Impl(std::make_unique<Impl>(std::move(Settings), AgentIncarnation)) {}

AgentDaemon::~AgentDaemon() = default;

void AgentDaemon::start() { m_Impl->start(); }

std::uint16_t AgentDaemon::httpPort() const { return m_Impl->port(); }

void AgentDaemon::requestShutdown() { m_Impl->requestShutdown(); }

void AgentDaemon::stop() { m_Impl->stop(); }

bool AgentDaemon::wait() { return m_Impl->wait(); }

AgentStatusReport AgentDaemon::status() const { return m_Impl->status(); }

} // namespace cyclamencroft
