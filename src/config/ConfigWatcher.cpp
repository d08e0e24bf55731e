// Reads the configuration stream by long polling with at most one read in
// flight. A mutex serialises handlers when the context has several threads.
#include "config/ConfigWatcher.h"

#include "config/LogProtocol.h"
#include "telemetry/EventLog.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <mutex>

namespace cyclamencroft {
namespace {

using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;

/// Pause after a read without records. Bounds the request rate if the log
/// answers without waiting.
constexpr std::chrono::milliseconds EmptyReadPause{20};

std::string numberText(std::uint64_t Number) { return std::to_string(Number); }

const char *nameOf(Decision Value) {
  switch (Value) {
  case Decision::Accepted:
    return "accepted";
  case Decision::Rejected:
    return "rejected";
  case Decision::Ignored:
    return "ignored";
  case Decision::Held:
    return "held";
  }
  return "";
}

void logDecision(const RecordDecision &Value) {
  const auto Level =
      Value.m_Decision == Decision::Ignored ? LogLevel::Debug : LogLevel::Info;
  logEvent(Level, "config-record",
           {{"offset", numberText(Value.m_Offset)},
            {"decision", nameOf(Value.m_Decision)},
            {"change", Value.m_Header.m_ChangeId},
            {"author", Value.m_Header.m_Author},
            {"version", numberText(Value.m_Version)},
            {"reason", Value.m_Reason}});
}

} // namespace

class ConfigWatcher::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(boost::asio::io_context &Io, std::string LogAddress,
       std::function<void(ConfigStatePtr)> OnAdopted,
       const ConfigWatcherOptions &Options)
      : m_Io(Io), m_LogAddress(std::move(LogAddress)),
        m_OnAdopted(std::move(OnAdopted)), m_Options(Options),
        m_Random(std::random_device{}()), m_Follower(Options.m_Tail),
        m_Policy(Options.m_Snapshots, m_Random()), m_PollTimer(Io),
        m_SnapshotTimer(Io) {}

  void start() {
    post([](Impl &Self) { Self.read(); });
  }

  void stop() {
    const std::lock_guard Lock(m_Mutex);
    m_Stopped = true;
    for (const auto &Cancel : {m_CancelRead, m_CancelAppend})
      if (Cancel)
        Cancel();
    m_PollTimer.cancel();
    m_SnapshotTimer.cancel();
  }

  void offer(const ConfigTransfer &Transfer) {
    post([Transfer](Impl &Self) { Self.handleOffer(Transfer); });
  }

private:
  /// Runs \p Work with the mutex locked unless the watcher has been stopped.
  template <class F> void guarded(F Work) {
    const std::lock_guard Lock(m_Mutex);
    if (!m_Stopped)
      Work(*this);
  }

  template <class F> void post(F Work) {
    boost::asio::post(m_Io, [Self = shared_from_this(),
                             Work = std::move(Work)] { Self->guarded(Work); });
  }

  template <class F> void runAt(Timer &Target, TimePoint Time, F Work) {
    Target.expires_at(Time);
    Target.async_wait([Self = shared_from_this(), Work](auto Fault) {
      if (!Fault)
        Self->guarded(Work);
    });
  }

  const ConfigStateMachine &stateMachine() const {
    return m_Follower.stateMachine();
  }

  void read() {
    m_PendingRead = m_Follower.nextRead();
    const HttpCall Call =
        makeLogRead(m_LogAddress, m_PendingRead, m_Options.m_PollWait);
    const auto Done = [Self = shared_from_this()](HttpOutcome Outcome) {
      Self->guarded([&Outcome](Impl &Own) {
        Own.handleReadOutcome(
            parseLogRead(Own.m_LogAddress, std::move(Outcome)));
      });
    };
    m_CancelRead = httpCallAsync(m_Io, Call, Done);
  }

  void handleReadOutcome(const LogReadOutcome &Outcome) {
    m_CancelRead = nullptr;
    if (const auto *Batch = std::get_if<LogBatch>(&Outcome))
      handleBatch(*Batch);
    else if (const auto *Truncated = std::get_if<LogTruncated>(&Outcome))
      handleTruncated(*Truncated);
    else
      readFailed(std::get<Error>(Outcome));
  }

  void handleBatch(const LogBatch &Batch) {
    readSucceeded();
    for (const RecordDecision &Value : m_Follower.process(Batch))
      logDecision(Value);
    reportRewind(Batch);
    if (m_Follower.isCaughtUp())
      handleCaughtUp();
    if (Batch.m_Records.empty())
      readAfter(EmptyReadPause);
    else
      read();
  }

  void handleCaughtUp() {
    notifyAdopted();
    if (!stateMachine().isCurrent() && !m_ReportedUnknown)
      logEvent(LogLevel::Warning, "config-version-unknown",
               {{"first", numberText(m_Follower.first())},
                {"reason", "the log is truncated and has no snapshot that "
                           "covers the gap"}});
    m_ReportedUnknown = !stateMachine().isCurrent();
    scheduleSnapshot();
  }

  void handleTruncated(const LogTruncated &Answer) {
    readSucceeded();
    if (!m_Follower.process(Answer, m_PendingRead))
      return readFailed(
          {"read log", m_LogAddress, "status 410 although the record is kept"});
    logEvent(LogLevel::Warning, "config-log-truncated",
             {{"wanted", numberText(m_PendingRead.m_From)},
              {"first", numberText(Answer.m_First)}});
    read();
  }

  /// Logs an error when the log ends below the records already read. An
  /// append-only log never shrinks, so it has lost accepted changes and an
  /// operator must be alerted. The version in effect is kept. A single such
  /// response can also result from a read that was in flight when a peer's
  /// newer state was adopted, so only the second in a row is logged.
  void reportRewind(const LogBatch &Batch) {
    const bool Rewound = Batch.m_Next < stateMachine().nextOffset();
    m_ConsecutiveRewinds = Rewound ? m_ConsecutiveRewinds + 1 : 0;
    if (m_ConsecutiveRewinds == 2)
      logEvent(LogLevel::Error, "config-log-rewound",
               {{"expected", numberText(stateMachine().nextOffset())},
                {"next", numberText(Batch.m_Next)}});
  }

  void readSucceeded() {
    if (m_Failures > 0)
      logEvent(LogLevel::Info, "config-log-reachable",
               {{"peer", m_LogAddress}, {"failures", numberText(m_Failures)}});
    m_Failures = 0;
  }

  void readFailed(const Error &Fault) {
    ++m_Failures;
    if (m_Failures == 1)
      logEvent(LogLevel::Warning, "config-log-unreachable",
               {{"peer", m_LogAddress},
                {"step", Fault.m_Step},
                {"reason", Fault.m_Message}});
    readAfter(backoff());
  }

  /// Exponential backoff with jitter between half and all of the pause, so that
  /// entries don't all reconnect at once to a log that has recovered.
  Duration backoff() {
    constexpr std::uint64_t MaxDoublings = 16;
    const auto Doubled = m_Options.m_InitialBackoff.count()
                         << std::min(m_Failures - 1, MaxDoublings);
    const auto Pause =
        std::min<Duration::rep>(Doubled, m_Options.m_MaxBackoff.count());
    std::uniform_int_distribution<Duration::rep> Spread(Pause / 2, Pause);
    return Duration(Spread(m_Random));
  }

  void readAfter(Duration Pause) {
    runAt(m_PollTimer, RuntimeClock::now() + Pause,
          [](Impl &Self) { Self.read(); });
  }

  void handleOffer(const ConfigTransfer &Transfer) {
    std::string Reason;
    if (!m_Follower.offer(Transfer, Reason)) {
      logEvent(
          LogLevel::Debug, "config-offer-refused",
          {{"version", numberText(Transfer.m_Version)}, {"reason", Reason}});
      return;
    }
    notifyAdopted();
  }

  void notifyAdopted() {
    const ConfigStatePtr State = stateMachine().adopted();
    if (!State || State->m_Version <= m_NotifiedVersion)
      return;
    m_NotifiedVersion = State->m_Version;
    m_OnAdopted(State);
  }

  void scheduleSnapshot() {
    if (!m_Options.m_AppendsSnapshots || m_CancelAppend)
      return;
    const auto Due = m_Policy.due(RuntimeClock::now(), stateMachine(),
                                  m_Follower.first(), m_Follower.next());
    if (!Due)
      m_SnapshotTimer.cancel();
    else
      runAt(m_SnapshotTimer, *Due, [](Impl &Self) { Self.appendSnapshot(); });
  }

  void appendSnapshot() {
    const TimePoint Now = RuntimeClock::now();
    if (m_CancelAppend || !m_Policy.due(Now, stateMachine(), m_Follower.first(),
                                        m_Follower.next()))
      return;
    m_Policy.recordAttempt(Now);
    const std::string Record =
        formatConfigRecord(stateMachine().makeSnapshot());
    const auto Done = [Self = shared_from_this()](HttpOutcome Outcome) {
      Self->guarded([&Outcome](Impl &Own) {
        Own.handleAppendOutcome(
            parseLogAppend(Own.m_LogAddress, std::move(Outcome)));
      });
    };
    m_CancelAppend =
        httpCallAsync(m_Io, makeLogAppend(m_LogAddress, Record), Done);
  }

  void handleAppendOutcome(const LogAppendOutcome &Outcome) {
    m_CancelAppend = nullptr;
    if (const auto *Offset = std::get_if<std::uint64_t>(&Outcome))
      logEvent(LogLevel::Info, "config-snapshot-appended",
               {{"offset", numberText(*Offset)}});
    else
      logEvent(LogLevel::Warning, "config-snapshot-failed",
               {{"reason", std::get<Error>(Outcome).describe()}});
  }

  boost::asio::io_context &m_Io;
  const std::string m_LogAddress;
  const std::function<void(ConfigStatePtr)> m_OnAdopted;
  const ConfigWatcherOptions m_Options;

  /// Guards all members below. Recursive because OnAdopted may call stop().
  std::recursive_mutex m_Mutex;
  bool m_Stopped = false;
  std::mt19937_64 m_Random;
  StreamFollower m_Follower;
  SnapshotPolicy m_Policy;
  Timer m_PollTimer;
  Timer m_SnapshotTimer;
  /// Cancel functions of the calls in flight; empty when there is none.
  std::function<void()> m_CancelRead;
  std::function<void()> m_CancelAppend;
  /// The read in flight.
  LogRead m_PendingRead;
  /// Version last passed to m_OnAdopted.
  ConfigVersion m_NotifiedVersion = 0;
  /// Consecutive failed reads.
  std::uint64_t m_Failures = 0;
  bool m_ReportedUnknown = false;
  /// Consecutive responses in which the log ends below the records read.
  std::uint64_t m_ConsecutiveRewinds = 0;
};

ConfigWatcher::ConfigWatcher(boost::asio::io_context &Io,
                             std::string LogAddress,
                             std::function<void(ConfigStatePtr)> OnAdopted,
                             ConfigWatcherOptions Options)
    : m_Impl(std::make_shared<Impl>(Io, std::move(LogAddress),
                                    std::move(OnAdopted), Options)) {}

ConfigWatcher::~ConfigWatcher() { stop(); }

void ConfigWatcher::start() { m_Impl->start(); }

void ConfigWatcher::stop() { m_Impl->stop(); }

void ConfigWatcher::offer(const ConfigTransfer &Transfer) {
  m_Impl->offer(Transfer);
}

} // namespace cyclamencroft
