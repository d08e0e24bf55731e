// Tests which records a reader of the configuration stream requests.
#include "config/StreamFollower.h"
#include "ConfigSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

namespace {

/// An in-memory log that retains the records from m_First on.
struct FakeLog {
  std::vector<std::string> m_Records;
  std::uint64_t m_First = 0;

  /// Answers reads until the follower is caught up; returns the number of
  /// records sent.
  std::size_t feed(StreamFollower &Follower) const {
    std::size_t Sent = 0;
    for (int Reads = 0; Reads < 1000; ++Reads) {
      const LogRead Read = Follower.nextRead();
      if (Read.m_From < m_First) {
        BOOST_REQUIRE(Follower.process(LogTruncated{m_First}, Read));
        continue;
      }
      LogBatch Batch{m_First, m_Records.size(), {}};
      for (std::uint64_t I = Read.m_From;
           I < m_Records.size() && I - Read.m_From < Read.m_Limit; ++I)
        Batch.m_Records.push_back({I, m_Records[I]});
      Sent += Batch.m_Records.size();
      Follower.process(Batch);
      if (Follower.isCaughtUp())
        return Sent;
    }
    BOOST_FAIL("the follower never caught up");
    return Sent;
  }
};

/// 500 changes; a snapshot after every \p Spacing of them, none for 0.
FakeLog logWith(std::uint64_t Spacing) {
  FakeLog Log;
  for (ConfigVersion Base = 0; Base < 500; ++Base) {
    Log.m_Records.push_back(documentRecord("c", Base, sampleDocument()));
    if (Spacing > 0 && (Base + 1) % Spacing == 0)
      Log.m_Records.push_back(snapshotRecord(Base + 1, Log.m_Records.size()));
  }
  return Log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigReading)

// Guards against a restart that reads days of changes to determine the version.
BOOST_AUTO_TEST_CASE(RestartReadsOnlyTheTail) {
  const FakeLog Log = logWith(64);
  StreamFollower Follower;
  BOOST_TEST(Log.feed(Follower) == TailRecords + 1);
  BOOST_TEST(Follower.stateMachine().currentVersion() == 500);
}

// Guards against a version that stays unknown when the tail has no snapshot,
// although the log provides the version at offset 0 or at an older snapshot.
BOOST_AUTO_TEST_CASE(TailWithoutSnapshotFallsBackToAllThatIsKept) {
  StreamFollower FromStart;
  BOOST_TEST(logWith(0).feed(FromStart) == 1 + TailRecords + 500);
  BOOST_TEST(FromStart.stateMachine().currentVersion() == 500);

  FakeLog Truncated = logWith(200);
  Truncated.m_First = 150;
  StreamFollower FromSnapshot;
  Truncated.feed(FromSnapshot);
  BOOST_TEST(FromSnapshot.stateMachine().currentVersion() == 500);
}

// Guards against endless re-reading of a log from which the version can't be
// determined.
BOOST_AUTO_TEST_CASE(LogWithoutAnySnapshotIsReadOnceAndWaitedFor) {
  FakeLog Log = logWith(0);
  Log.m_First = 100;
  StreamFollower Follower;
  BOOST_TEST(Log.feed(Follower) == 1 + TailRecords + 400);
  BOOST_TEST(!Follower.stateMachine().isCurrent());
  Log.m_Records.push_back(snapshotRecord(500, 500));
  BOOST_TEST(Log.feed(Follower) == 1);
  BOOST_TEST(Follower.stateMachine().currentVersion() == 500);
}

// Guards against a reader that skips records although the version is known.
BOOST_AUTO_TEST_CASE(ReaderWithAVersionReadsEveryRecord) {
  const FakeLog Log = logWith(64);
  StreamFollower Follower;
  std::string Reason;
  BOOST_TEST(Follower.offer({1, 1, "ordinary", sampleDocument()}, Reason));
  BOOST_TEST(Log.feed(Follower) == Log.m_Records.size() - 1);
  BOOST_TEST(Follower.stateMachine().currentVersion() == 500);
}

// Guards against an endless loop on a response that contradicts the read.
BOOST_AUTO_TEST_CASE(TruncationBelowTheReadIsRefused) {
  StreamFollower Follower;
  BOOST_TEST(!Follower.process(LogTruncated{0}, Follower.nextRead()));
}

BOOST_AUTO_TEST_SUITE_END()
