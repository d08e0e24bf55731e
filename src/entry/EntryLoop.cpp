// One iteration takes all events that have arrived, passes them to the core,
// executes the core's commands and sends one frame per link.
#include "entry/EntryLoop.h"

#include "entry/EntryResponses.h"
#include "entry/JobRequest.h"
#include "telemetry/EventLog.h"

#include <boost/asio/post.hpp>

namespace cyclamencroft {
namespace {

/// Poll interval and time limit of a drained entry that waits for responses
/// that are still being written. The HTTP server disconnects a slow reader
/// before the limit.
constexpr Duration DrainPollInterval{std::chrono::milliseconds(10)};
constexpr Duration DrainLimit{std::chrono::seconds(32)};

HttpServer::Limits limitsOf(const EntrySettings &Settings) {
  HttpServer::Limits Limits;
  Limits.m_BodyBytes = MaxJobBytes;
  Limits.m_MaxConnections = Settings.m_MaxConnections;
  Limits.m_RefusalHeaders = {{"Cyclamencroft-Outcome", "not-run"}};
  return Limits;
}

} // namespace

EntryLoop::EntryLoop(const EntrySettings &Settings, EntryOptions Options)
    : m_EntryId(Settings.m_Id), m_Incarnation(Options.m_Incarnation),
      m_CoreIo(1), m_CoreWork(m_CoreIo.get_executor()),
      m_HttpWork(m_HttpIo.get_executor()),
      m_Spans(Settings.m_SpanFile, "cyclamencroft-entry"),
      m_Core(std::move(Options)), m_Timer(m_CoreIo), m_DrainTimer(m_CoreIo),
      m_Links(m_CoreIo, Settings.m_LinkListen, Settings.m_Peers, linkSink()),
      m_Http(m_Config, httpSink()),
      m_Server(
          m_HttpIo, Settings.m_HttpListen,
          [this](const ExchangePtr &Exchange) { m_Http.handle(Exchange); },
          limitsOf(Settings)) {
  if (!Settings.m_LogAddress.empty())
    m_Watcher = std::make_unique<ConfigWatcher>(
        m_CoreIo, Settings.m_LogAddress,
        [this](const ConfigStatePtr &State) { adopt(State); });
}

EntryLoop::~EntryLoop() {
  // Exchanges that are still held respond through the HTTP io_context.
  m_Callers.clear();
  m_Inbox.clear();
}

EntryHttp::Sink EntryLoop::httpSink() {
  return {[this](EntryEvent Event, ExchangePtr Exchange) {
            post(std::move(Event), std::move(Exchange));
          },
          [this](EntryPage Page, const ExchangePtr &Exchange) {
            query(Page, Exchange);
          }};
}

EntryLinks::Sink EntryLoop::linkSink() {
  return {[this](EntryEvent Event) { post(std::move(Event), nullptr); },
          [this](const ConfigTransfer &Transfer) {
            if (m_Watcher)
              m_Watcher->offer(Transfer);
          },
          [this] { return makeHello(); }};
}

void EntryLoop::start(const ConfigStatePtr &Config) {
  if (Config)
    adopt(Config);
  if (m_Watcher)
    m_Watcher->start();
  m_Links.start();
}

void EntryLoop::runCore() { m_CoreIo.run(); }

void EntryLoop::runHttp() {
  const RcuReaderThread Reader;
  m_HttpIo.run();
}

void EntryLoop::requestShutdown() { post(ShutdownRequested{}, nullptr); }

void EntryLoop::wait() {
  std::unique_lock<std::mutex> Lock(m_EndMutex);
  m_EndChanged.wait(Lock, [this] { return m_Ended; });
}

void EntryLoop::stop() {
  m_CoreIo.stop();
  m_HttpIo.stop();
  finish();
}

void EntryLoop::closeAll() {
  m_Links.stop();
  m_Server.stop();
  const RcuReaderThread Reader;
  m_HttpIo.restart();
  m_HttpIo.poll();
}

void EntryLoop::finish() {
  const std::lock_guard<std::mutex> Lock(m_EndMutex);
  m_Ended = true;
  m_EndChanged.notify_all();
}

void EntryLoop::post(EntryEvent Event, ExchangePtr Exchange) {
  bool First = false;
  {
    const std::lock_guard<std::mutex> Lock(m_InboxMutex);
    First = m_Inbox.empty();
    m_Inbox.push_back(Inbound{std::move(Event), std::move(Exchange)});
  }
  if (First)
    boost::asio::post(m_CoreIo, [this] { processInbox(); });
}

void EntryLoop::query(EntryPage Page, const ExchangePtr &Exchange) {
  boost::asio::post(m_CoreIo,
                    [this, Page, Exchange] { showPage(Page, Exchange); });
}

void EntryLoop::processInbox() {
  {
    const std::lock_guard<std::mutex> Lock(m_InboxMutex);
    m_Batch.swap(m_Inbox);
  }
  const TimePoint Now = RuntimeClock::now();
  for (Inbound &Arrived : m_Batch)
    feed(Now, Arrived);
  m_Batch.clear();
  execute();
}

void EntryLoop::feed(TimePoint Now, Inbound &Arrived) {
  if (const auto *Request = std::get_if<RequestArrived>(&Arrived.m_Event))
    addCaller(Request->m_Caller, Request->m_Request, Arrived, Now);
  if (const auto *Job = std::get_if<JobSubmitted>(&Arrived.m_Event))
    addCaller(Job->m_Caller, Job->m_Request, Arrived, Now);
  if (const auto *Disconnected =
          std::get_if<CallerDisconnected>(&Arrived.m_Event))
    m_Callers.erase(Disconnected->m_Caller);
  if (std::holds_alternative<ShutdownRequested>(Arrived.m_Event))
    m_Draining = true;
  m_Core.handle(Now, Arrived.m_Event, m_Commands);
}

void EntryLoop::addCaller(CallerId Id, const RequestId &Request,
                          Inbound &Arrived, TimePoint Now) {
  Arrived.m_Exchange->onDisconnect(
      [this, Id] { post(CallerDisconnected{Id}, nullptr); });
  m_Callers.emplace(Id, Caller{Request, std::move(Arrived.m_Exchange), Now});
}

std::size_t EntryLoop::waitingCallers(std::string &Ids) const {
  constexpr std::size_t MaxListed = 50;
  std::size_t Listed = 0;
  for (const auto &[Id, Waiting] : m_Callers) {
    if (++Listed > MaxListed)
      break;
    Ids += (Ids.empty() ? "" : ",") + Waiting.m_Request.toHex();
  }
  return m_Callers.size();
}

void EntryLoop::execute() {
  for (EntryCommand &Command : m_Commands)
    std::visit([this](auto &Alternative) { run(Alternative); }, Command);
  m_Commands.clear();
  m_Links.flush();
  armTimer();
}

/// The response is rendered on an HTTP thread because that of a job may be
/// large.
template <class A> void EntryLoop::answer(A Answer) {
  const auto Found = m_Callers.find(Answer.m_Caller);
  if (Found == m_Callers.end())
    return;
  Caller Waiting = std::move(Found->second);
  m_Callers.erase(Found);
  boost::asio::post(m_HttpIo, [this, Waiting = std::move(Waiting),
                               Answer = std::move(Answer)] {
    Waiting.m_Exchange->respond(toResponse(Answer));
    m_Metrics.observe("response_time",
                      RuntimeClock::now() - Waiting.m_ArrivedAt);
  });
}

void EntryLoop::run(SendMessage &Send) {
  m_Links.queue(Send.m_Link, std::move(Send.m_Message));
}

void EntryLoop::run(CloseLink &Close) {
  m_Links.close(Close.m_Link, std::move(Close.m_Reason));
}

void EntryLoop::run(LogDecision &Decision) {
  EventLog::write(LogLevel::Info, Decision.m_Event, Decision.m_Fields);
}

void EntryLoop::run(SpanEnded &Span) { m_Spans.write(Span); }

void EntryLoop::run(Drained &) {
  m_Server.stopAccepting();
  m_DrainDeadline = RuntimeClock::now() + DrainLimit;
  awaitResponses();
}

void EntryLoop::awaitResponses() {
  m_DrainTimer.expires_after(DrainPollInterval);
  m_DrainTimer.async_wait([this](boost::system::error_code Fault) {
    if (Fault)
      return;
    const bool LimitReached = RuntimeClock::now() >= m_DrainDeadline;
    if (m_Server.connections() != 0 && !LimitReached)
      return awaitResponses();
    logEvent(LogLevel::Info, "drained", {{"entry", m_EntryId}});
    finish();
  });
}

/// Moves the timer only to an earlier time: a timer that fires early costs less
/// than rearming it in every iteration.
void EntryLoop::armTimer() {
  const TimePoint Due = m_Core.nextWakeup();
  if (Due >= m_ArmedFor)
    return;
  m_ArmedFor = Due;
  m_Timer.expires_at(Due);
  m_Timer.async_wait([this](boost::system::error_code Fault) {
    if (!Fault)
      timerFired();
  });
}

void EntryLoop::timerFired() {
  m_ArmedFor = TimePoint::max();
  const TimePoint Now = RuntimeClock::now();
  if (m_Core.nextWakeup() <= Now)
    m_Core.handle(Now, Tick{}, m_Commands);
  execute();
}

void EntryLoop::adopt(const ConfigStatePtr &State) {
  if (m_Adopted && State->m_Version <= m_Adopted->m_Version)
    return;
  m_Adopted = State;
  m_Config.replace(std::make_unique<const ConfigStatePtr>(State));
  post(ConfigAdopted{State}, nullptr);
}

EntryHello EntryLoop::makeHello() const {
  EntryHello Hello;
  Hello.m_EntryId = m_EntryId;
  Hello.m_Incarnation = m_Incarnation;
  Hello.m_ConfigVersion = m_Adopted ? m_Adopted->m_Version : 0;
  return Hello;
}

} // namespace cyclamencroft
