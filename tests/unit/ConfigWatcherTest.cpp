// Tests the watcher with a stand-in log in the same process.
#include "config/ConfigWatcher.h"
#include "ConfigSamples.h"
#include "bench/StandinLog.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <list>
#include <mutex>
#include <thread>

using namespace cyclamencroft;
using std::chrono::milliseconds;

namespace {

ConfigWatcherOptions fastOptions() {
  ConfigWatcherOptions Options;
  Options.m_PollWait = milliseconds(200);
  Options.m_InitialBackoff = milliseconds(10);
  Options.m_MaxBackoff = milliseconds(50);
  Options.m_AppendsSnapshots = false;
  return Options;
}

/// Runs a watcher on its own thread and records the versions it adopts.
class Reader {
public:
  explicit Reader(const StandinLog &Log,
                  const ConfigWatcherOptions &Options = fastOptions())
      : m_Work(m_Io.get_executor()),
        m_Watcher(
            m_Io, Log.address(),
            [this](const ConfigStatePtr &State) { adopted(*State); }, Options),
        m_Thread([this] { m_Io.run(); }) {
    m_Watcher.start();
  }
  ~Reader() {
    m_Watcher.stop();
    m_Io.stop();
    m_Thread.join();
  }
  Reader(const Reader &) = delete;
  Reader &operator=(const Reader &) = delete;

  std::vector<ConfigVersion> versions() const {
    const std::lock_guard Lock(m_Mutex);
    return m_Versions;
  }

  /// Waits up to 5 s for \p Version to be the last one adopted.
  bool reaches(ConfigVersion Version) const {
    for (int I = 0; I < 500; ++I) {
      const auto Seen = versions();
      if (!Seen.empty() && Seen.back() == Version)
        return true;
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

  ConfigWatcher &watcher() { return m_Watcher; }

private:
  void adopted(const ConfigState &State) {
    const std::lock_guard Lock(m_Mutex);
    m_Versions.push_back(State.m_Version);
  }

  mutable std::mutex m_Mutex;
  std::vector<ConfigVersion> m_Versions;
  boost::asio::io_context m_Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_Work;
  ConfigWatcher m_Watcher;
  std::thread m_Thread;
};

void appendChanges(StandinLog &Log, ConfigVersion From, ConfigVersion To) {
  for (ConfigVersion Base = From; Base < To; ++Base)
    Log.append(
        "config",
        documentRecord("c", Base, sampleDocument(static_cast<int>(Base))));
}

/// Waits up to 5 s until watchers have appended \p Count snapshots.
void waitForSnapshots(const StandinLog &Log, std::uint64_t Count) {
  const TimePoint Limit = RuntimeClock::now() + std::chrono::seconds(5);
  while (Log.counts().m_Appends < Count && RuntimeClock::now() < Limit)
    std::this_thread::sleep_for(milliseconds(1));
  BOOST_REQUIRE(Log.counts().m_Appends >= Count);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigWatch)

// Guards against reporting intermediate states during replay, and against
// changes that are read only at the next poll.
BOOST_AUTO_TEST_CASE(ReplayReportsTheLastStateThenEachChange) {
  StandinLog Log;
  appendChanges(Log, 0, 100);
  const Reader Entry(Log);
  BOOST_TEST(Entry.reaches(100));
  const TimePoint Before = RuntimeClock::now();
  appendChanges(Log, 100, 101);
  BOOST_TEST(Entry.reaches(101));
  BOOST_CHECK(RuntimeClock::now() - Before < milliseconds(150));
  BOOST_TEST(Entry.versions() == (std::vector<ConfigVersion>{100, 101}),
             boost::test_tools::per_element());
}

// Guards against a watcher that stops reading after the log is unavailable or
// slow.
BOOST_AUTO_TEST_CASE(ReadingGoesOnAfterEveryKindOfOutage) {
  StandinLog Log;
  const Reader Entry(Log);
  ConfigVersion Version = 0;
  for (const LogDown Down :
       {LogDown::Reset, LogDown::Unavailable, LogDown::Hang}) {
    Log.setMode({Down, {}, 0});
    std::this_thread::sleep_for(milliseconds(100));
    appendChanges(Log, Version, Version + 1);
    Log.setMode({});
    BOOST_TEST(Entry.reaches(++Version));
  }
  Log.setMode({LogDown::No, milliseconds(300), 0});
  appendChanges(Log, Version, Version + 1);
  BOOST_TEST(Entry.reaches(Version + 1));
}

// Guards against losing the state when the log is truncated past a reader
// during an outage: the reader must keep its state, restart from the first
// retained record and wait for a snapshot.
BOOST_AUTO_TEST_CASE(RetentionPassingTheReaderIsRecoveredBySnapshot) {
  StandinLog Log;
  appendChanges(Log, 0, 3);
  const Reader Entry(Log);
  BOOST_TEST(Entry.reaches(3));
  Log.setMode({LogDown::Unavailable, {}, 0});
  appendChanges(Log, 3, 9);
  Log.truncate(2);
  Log.setMode({});
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(Entry.versions().back() == 3);
  Log.append("config", snapshotRecord(9, 9, "ordinary", 8));
  BOOST_TEST(Entry.reaches(9));
  appendChanges(Log, 9, 10);
  BOOST_TEST(Entry.reaches(10));
}

// Guards against an entry that has no configuration although a peer sent one,
// and against a peer's state that lowers the version.
BOOST_AUTO_TEST_CASE(PeerStateIsAdoptedWhileTheLogIsDown) {
  StandinLog Log;
  Log.setMode({LogDown::Reset, {}, 0});
  Reader Entry(Log);
  Entry.watcher().offer({6, 12, "peak", sampleDocument()});
  BOOST_TEST(Entry.reaches(6));
  Entry.watcher().offer({5, 10, "ordinary", sampleDocument()});
  std::this_thread::sleep_for(milliseconds(100));
  BOOST_TEST(Entry.versions() == (std::vector<ConfigVersion>{6}),
             boost::test_tools::per_element());
}

// Guards against a truncated log from which new entries can't determine the
// version, and against every entry appending its own snapshot.
BOOST_AUTO_TEST_CASE(EntriesKeepTheTruncatedLogReadable) {
  constexpr ConfigVersion Changes = 120;
  StandinLogOptions LogOptions;
  LogOptions.m_Retention = 40;
  StandinLog Log(LogOptions);
  ConfigWatcherOptions Options = fastOptions();
  Options.m_AppendsSnapshots = true;
  Options.m_Snapshots = {16, std::chrono::hours(1), milliseconds(200)};
  std::list<Reader> Entries;
  for (int I = 0; I < 4; ++I)
    Entries.emplace_back(Log, Options);
  // A snapshot is due after 16 records, so each 24 changes give at least one.
  // 400 ms after every 12 changes leave time for appends that are not needed.
  for (ConfigVersion Done = 0; Done < Changes; Done += 24) {
    const std::uint64_t Before = Log.counts().m_Appends;
    appendChanges(Log, Done, Done + 12);
    std::this_thread::sleep_for(milliseconds(400));
    appendChanges(Log, Done + 12, Done + 24);
    waitForSnapshots(Log, Before + 1);
    std::this_thread::sleep_for(milliseconds(400));
  }
  for (const Reader &Entry : Entries)
    BOOST_TEST(Entry.reaches(Changes));
  const Reader LateReader(Log);
  BOOST_TEST(LateReader.reaches(Changes));
  const std::uint64_t Appends = Log.counts().m_Appends;
  BOOST_TEST_MESSAGE(Appends << " snapshots for " << Changes << " changes");
  BOOST_TEST(Appends >= 4);
  BOOST_TEST(Appends <= 16);
}

// Guards against repeated appends of a snapshot after its reply was lost.
BOOST_AUTO_TEST_CASE(LostSnapshotReplyIsNotRepeated) {
  StandinLog Log;
  Log.setMode({LogDown::No, {}, 1});
  ConfigWatcherOptions Options = fastOptions();
  Options.m_AppendsSnapshots = true;
  Options.m_Snapshots = {4, std::chrono::hours(1), milliseconds(50)};
  const Reader Entry(Log, Options);
  appendChanges(Log, 0, 4);
  BOOST_TEST(Entry.reaches(4));
  waitForSnapshots(Log, 1);
  // Leaves time for a second append.
  std::this_thread::sleep_for(milliseconds(400));
  BOOST_TEST(Log.counts().m_Appends == 1);
}

BOOST_AUTO_TEST_SUITE_END()
