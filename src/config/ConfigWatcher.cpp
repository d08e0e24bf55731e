// One read is open at a time; a mutex serialises handlers when the context has
// several threads.
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

/// Pause after a read without records; bounds the load when a log doesn't
/// wait.
constexpr std::chrono::milliseconds EmptyReadPause{20};

std::string show(std::uint64_t Number) { return std::to_string(Number); }

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

void logJudgement(const Judgement &Value) {
  const auto Level =
      Value.m_Decision == Decision::Ignored ? LogLevel::Debug : LogLevel::Info;
  logEvent(Level, "config-record",
           {{"offset", show(Value.m_Offset)},
            {"decision", nameOf(Value.m_Decision)},
            {"change", Value.m_Header.m_ChangeId},
            {"author", Value.m_Header.m_Author},
            {"version", show(Value.m_Version)},
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
    for (const auto &Abandon : {m_AbandonRead, m_AbandonAppend})
      if (Abandon)
        Abandon();
    m_PollTimer.cancel();
    m_SnapshotTimer.cancel();
  }

  void offer(const ConfigTransfer &Transfer) {
    post([Transfer](Impl &Self) { Self.takeOffer(Transfer); });
  }

private:
  /// Runs \p Work under the mutex unless the watcher has been stopped.
  template <class F> void guarded(F Work) {
    const std::lock_guard Lock(m_Mutex);
    if (!m_Stopped)
      Work(*this);
  }

  template <class F> void post(F Work) {
    boost::asio::post(m_Io, [Self = shared_from_this(),
                             Work = std::move(Work)] { Self->guarded(Work); });
  }

  template <class F> void at(Timer &When, TimePoint Time, F Work) {
    When.expires_at(Time);
    When.async_wait([Self = shared_from_this(), Work](auto Fault) {
      if (!Fault)
        Self->guarded(Work);
    });
  }

  const ConfigJudge &judge() const { return m_Follower.judge(); }

  void read() {
    m_Asked = m_Follower.nextRead();
    const HttpCall Call =
        makeLogRead(m_LogAddress, m_Asked, m_Options.m_PollWait);
    const auto Done = [Self = shared_from_this()](HttpOutcome Outcome) {
      Self->guarded([&Outcome](Impl &Own) {
        Own.readDone(parseLogRead(Own.m_LogAddress, std::move(Outcome)));
      });
    };
    m_AbandonRead = httpCallAsync(m_Io, Call, Done);
  }

  void readDone(const LogReadOutcome &Outcome) {
    m_AbandonRead = nullptr;
    if (const auto *Batch = std::get_if<LogBatch>(&Outcome))
      batchRead(*Batch);
    else if (const auto *Truncated = std::get_if<LogTruncated>(&Outcome))
      truncated(*Truncated);
    else
      readFailed(std::get<Error>(Outcome));
  }

  void batchRead(const LogBatch &Batch) {
    readSucceeded();
    for (const Judgement &Value : m_Follower.take(Batch))
      logJudgement(Value);
    reportRewind(Batch);
    if (m_Follower.isCaughtUp())
      caughtUp();
    if (Batch.m_Records.empty())
      readAfter(EmptyReadPause);
    else
      read();
  }

  void caughtUp() {
    tellAdopted();
    if (!judge().isCurrent() && !m_ReportedUnknown)
      logEvent(LogLevel::Warning, "config-version-unknown",
               {{"first", show(m_Follower.first())},
                {"reason", "the log is truncated and has no snapshot that "
                           "covers the gap"}});
    m_ReportedUnknown = !judge().isCurrent();
    scheduleSnapshot();
  }

  void truncated(const LogTruncated &Answer) {
    readSucceeded();
    if (!m_Follower.take(Answer, m_Asked))
      return readFailed(
          {"read log", m_LogAddress, "status 410 although the record is kept"});
    logEvent(
        LogLevel::Warning, "config-log-truncated",
        {{"wanted", show(m_Asked.m_From)}, {"first", show(Answer.m_First)}});
    read();
  }

  /// An append-only log never shrinks; one that does has lost accepted
  /// changes, which an operator must know. The version in effect is kept. Once
  /// may be an answer that a peer's newer state overtook.
  void reportRewind(const LogBatch &Batch) {
    const bool Rewound = Batch.m_Next < judge().nextOffset();
    m_Rewinds = Rewound ? m_Rewinds + 1 : 0;
    if (m_Rewinds == 2)
      logEvent(LogLevel::Error, "config-log-rewound",
               {{"expected", show(judge().nextOffset())},
                {"next", show(Batch.m_Next)}});
  }

  void readSucceeded() {
    if (m_Failures > 0)
      logEvent(LogLevel::Info, "config-log-reachable",
               {{"peer", m_LogAddress}, {"failures", show(m_Failures)}});
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

  /// Half to all of the doubled pause, so that entries don't return to a
  /// recovering log all at once.
  Duration backoff() {
    constexpr std::uint64_t MostDoublings = 16;
    const auto Doubled = m_Options.m_FirstBackoff.count()
                         << std::min(m_Failures - 1, MostDoublings);
    const auto Pause =
        std::min<Duration::rep>(Doubled, m_Options.m_LongestBackoff.count());
    std::uniform_int_distribution<Duration::rep> Spread(Pause / 2, Pause);
    return Duration(Spread(m_Random));
  }

  void readAfter(Duration Pause) {
    at(m_PollTimer, RuntimeClock::now() + Pause,
       [](Impl &Self) { Self.read(); });
  }

  void takeOffer(const ConfigTransfer &Transfer) {
    std::string Reason;
    if (!m_Follower.offer(Transfer, Reason)) {
      logEvent(LogLevel::Debug, "config-offer-refused",
               {{"version", show(Transfer.m_Version)}, {"reason", Reason}});
      return;
    }
    tellAdopted();
  }

  void tellAdopted() {
    const ConfigStatePtr State = judge().adopted();
    if (!State || State->m_Version <= m_Told)
      return;
    m_Told = State->m_Version;
    m_OnAdopted(State);
  }

  void scheduleSnapshot() {
    if (!m_Options.m_AppendsSnapshots || m_AbandonAppend)
      return;
    const auto Due = m_Policy.due(RuntimeClock::now(), judge(),
                                  m_Follower.first(), m_Follower.next());
    if (!Due)
      m_SnapshotTimer.cancel();
    else
      at(m_SnapshotTimer, *Due, [](Impl &Self) { Self.appendSnapshot(); });
  }

  void appendSnapshot() {
    const TimePoint Now = RuntimeClock::now();
    if (m_AbandonAppend ||
        !m_Policy.due(Now, judge(), m_Follower.first(), m_Follower.next()))
      return;
    m_Policy.tried(Now);
    const std::string Record = formatConfigRecord(judge().makeSnapshot());
    const auto Done = [Self = shared_from_this()](HttpOutcome Outcome) {
      Self->guarded([&Outcome](Impl &Own) {
        Own.appendDone(parseLogAppend(Own.m_LogAddress, std::move(Outcome)));
      });
    };
    m_AbandonAppend =
        httpCallAsync(m_Io, makeLogAppend(m_LogAddress, Record), Done);
  }

  void appendDone(const LogAppendOutcome &Outcome) {
    m_AbandonAppend = nullptr;
    if (const auto *Offset = std::get_if<std::uint64_t>(&Outcome))
      logEvent(LogLevel::Info, "config-snapshot-appended",
               {{"offset", show(*Offset)}});
    else
      logEvent(LogLevel::Warning, "config-snapshot-failed",
               {{"reason", std::get<Error>(Outcome).describe()}});
  }

  boost::asio::io_context &m_Io;
  const std::string m_LogAddress;
  const std::function<void(ConfigStatePtr)> m_OnAdopted;
  const ConfigWatcherOptions m_Options;

  /// Guards everything below. Recursive, since OnAdopted may call stop().
  std::recursive_mutex m_Mutex;
  bool m_Stopped = false;
  std::mt19937_64 m_Random;
  StreamFollower m_Follower;
  SnapshotPolicy m_Policy;
  Timer m_PollTimer;
  Timer m_SnapshotTimer;
  /// Set while the call is open.
  std::function<void()> m_AbandonRead;
  std::function<void()> m_AbandonAppend;
  /// The open read.
  LogRead m_Asked;
  /// Version last passed to m_OnAdopted.
  ConfigVersion m_Told = 0;
  /// Reads that failed since the last success.
  std::uint64_t m_Failures = 0;
  bool m_ReportedUnknown = false;
  /// Answers in a row that end below what was read.
  std::uint64_t m_Rewinds = 0;
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
