// The event loop around the decision core: passes it batches of events and
// executes its commands.
#pragma once

#include "config/ConfigWatcher.h"
#include "core/RcuPointer.h"
#include "core/RuntimeTimer.h"
#include "cyclamencroft/EntrySettings.h"
#include "entry/EntryCore.h"
#include "entry/EntryHttp.h"
#include "entry/EntryLinks.h"
#include "telemetry/Metrics.h"
#include "telemetry/SpanWriter.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamencroft {

class EntryLoop {
public:
  EntryLoop(const EntrySettings &Settings, EntryOptions Options);
  ~EntryLoop();
  EntryLoop(const EntryLoop &) = delete;
  EntryLoop &operator=(const EntryLoop &) = delete;

  /// Call before the threads run. \p Config may be null.
  void start(const ConfigStatePtr &Config);

  /// Thread functions of the core's thread and of each HTTP thread; they return
  /// after stop().
  void runCore();
  void runHttp();

  std::uint16_t httpPort() const { return m_Server.port(); }
  std::uint16_t linkPort() const { return m_Links.port(); }

  void requestShutdown();
  void wait();
  /// Makes the threads return.
  void stop();
  /// Closes all connections and links, so that callers and agents detect the
  /// end at once. Only after the threads have returned.
  void closeAll();

  /// Number of requests without a response. Appends the ids of at most 50 of
  /// them to \p Ids, separated by commas. Only while no thread runs.
  std::size_t waitingCallers(std::string &Ids) const;

private:
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  struct Inbound {
    EntryEvent m_Event;
    /// Null for events without a waiting caller.
    ExchangePtr m_Exchange;
  };
  struct Caller {
    RequestId m_Request;
    ExchangePtr m_Exchange;
    TimePoint m_ArrivedAt;
  };

  EntryHttp::Sink httpSink();
  EntryLinks::Sink linkSink();

  // Safe from any thread.
  void post(EntryEvent Event, ExchangePtr Exchange);
  void query(EntryPage Page, const ExchangePtr &Exchange);

  // Only on the core's thread.
  void processInbox();
  void handleInbound(TimePoint Now, Inbound &Arrived);
  void addCaller(CallerId Id, const RequestId &Request, Inbound &Arrived,
                 TimePoint Now);
  void execute();
  void run(AnswerRequest &Answer) { answer(std::move(Answer)); }
  void run(AnswerJob &Answer) { answer(std::move(Answer)); }
  void run(SendMessage &Send);
  void run(CloseLink &Close);
  void run(LogDecision &Decision);
  void run(SpanEnded &Span);
  void run(Drained &End);
  template <class A> void answer(A Answer);
  void armTimer();
  void timerFired();
  void adopt(const ConfigStatePtr &State);
  void showPage(EntryPage Page, const ExchangePtr &Exchange);
  HttpResponse readyPage(const EntryStatus &Status) const;
  HttpResponse metricsPage(const EntryStatus &Status);
  EntryHello makeHello() const;
  void awaitResponses();
  void finish();

  const std::string m_EntryId;
  const Incarnation m_Incarnation;
  boost::asio::io_context m_CoreIo;
  boost::asio::io_context m_HttpIo;
  WorkGuard m_CoreWork;
  WorkGuard m_HttpWork;

  Metrics m_Metrics;
  SpanWriter m_Spans;
  /// Written by the core's thread, read by HTTP threads.
  RcuPointer<ConfigStatePtr> m_Config;
  /// Same configuration as m_Config, null while there is none; used only on the
  /// core's thread.
  ConfigStatePtr m_Adopted;

  EntryCore m_Core;
  std::vector<EntryCommand> m_Commands;
  std::unordered_map<CallerId, Caller> m_Callers;
  RuntimeTimer m_Timer;
  /// Time for which m_Timer is armed; max() when it isn't.
  TimePoint m_ArmedFor = TimePoint::max();
  bool m_Draining = false;
  /// Polls for the completion of the last responses after Drained.
  RuntimeTimer m_DrainTimer;
  TimePoint m_DrainDeadline{};

  std::mutex m_InboxMutex;
  /// Guarded by m_InboxMutex. While it isn't empty, a call of processInbox() is
  /// pending.
  std::vector<Inbound> m_Inbox;
  /// Events of the current iteration; a member so that its capacity is reused.
  std::vector<Inbound> m_Batch;

  std::mutex m_EndMutex;
  std::condition_variable m_EndChanged;
  /// Guarded by m_EndMutex.
  bool m_Ended = false;

  EntryLinks m_Links;
  std::unique_ptr<ConfigWatcher> m_Watcher;
  EntryHttp m_Http;
  HttpServer m_Server;
};

} // namespace cyclamencroft
