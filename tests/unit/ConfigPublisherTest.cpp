// Tests publishing with a stand-in log in the same process.
#include "cli/ConfigPublisher.h"
#include "ConfigSamples.h"
#include "bench/StandinLog.h"
#include "cli/ConfigRecovery.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace cyclamencroft;
using std::chrono::milliseconds;

namespace {

PublishRequest documentRequest(const StandinLog &Log, int QueueLimit = 100) {
  PublishRequest Request;
  Request.m_LogAddress = Log.address();
  Request.m_Author = "jeanne";
  Request.m_Change = DocumentChange{{}, sampleDocument(QueueLimit)};
  Request.m_Timeout = std::chrono::seconds(3);
  return Request;
}

std::uint64_t appendsOf(const StandinLog &Log) {
  return Log.counts().m_Appends;
}

/// Waits up to 10 s until \p Count append requests have arrived.
void waitForAppendRequests(const StandinLog &Log, std::uint64_t Count) {
  const TimePoint Limit = RuntimeClock::now() + std::chrono::seconds(10);
  while (Log.counts().m_AppendRequests < Count && RuntimeClock::now() < Limit)
    std::this_thread::sleep_for(milliseconds(1));
  BOOST_REQUIRE(Log.counts().m_AppendRequests == Count);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigPublishing)

// Guards against a second append after a lost reply, and against reporting a
// failure although the change is in effect.
BOOST_AUTO_TEST_CASE(LostReplyIsResolvedByReadingTheLog) {
  StandinLog Log;
  Log.setMode({LogDown::No, {}, 1});
  const PublishOutcome Outcome = publish(documentRequest(Log));
  BOOST_CHECK(Outcome.m_Status == PublishStatus::Accepted);
  BOOST_TEST(Outcome.m_Version == 1);
  BOOST_TEST(appendsOf(Log) == 1);
}

// Guards against accepting several concurrent changes, or none.
BOOST_AUTO_TEST_CASE(OneConcurrentChangeIsAcceptedAndTheOthersNameIt) {
  StandinLog Log;
  std::vector<std::future<PublishOutcome>> Publications;
  for (int I = 0; I < 4; ++I) {
    PublishRequest Request = documentRequest(Log, I + 1);
    Request.m_Base = 0;
    Publications.push_back(
        std::async(std::launch::async, [Request] { return publish(Request); }));
  }
  std::string Winner;
  std::vector<std::string> Losers;
  for (auto &Publication : Publications) {
    const PublishOutcome Outcome = Publication.get();
    if (Outcome.m_Status == PublishStatus::Accepted) {
      BOOST_TEST(Winner.empty());
      Winner = Outcome.m_ChangeId;
    } else {
      BOOST_CHECK(Outcome.m_Status == PublishStatus::LostRace);
      BOOST_TEST(Outcome.m_Version == 1);
      Losers.push_back(Outcome.m_Detail);
    }
  }
  BOOST_TEST(!Winner.empty());
  for (const std::string &Detail : Losers)
    BOOST_TEST(Detail.find(Winner) != std::string::npos, Detail);
}

// Guards against a change based on an old version that replaces a newer one,
// and against appending a change that is certain to be rejected.
BOOST_AUTO_TEST_CASE(WrongBaseAndUnknownPresetAreRefusedWithoutAnAppend) {
  StandinLog Log;
  Log.append("config", documentRecord("a", 0, sampleDocument()));
  PublishRequest Request = documentRequest(Log);
  Request.m_Base = 0;
  BOOST_CHECK(publish(Request).m_Status == PublishStatus::LostRace);
  Request.m_Base = 2;
  BOOST_CHECK(publish(Request).m_Status == PublishStatus::Rejected);
  Request.m_Base.reset();
  Request.m_Change = PresetSwitch{{}, "night"};
  BOOST_CHECK(publish(Request).m_Status == PublishStatus::Rejected);
  BOOST_TEST(appendsOf(Log) == 0);
  Request.m_Change = PresetSwitch{{}, "peak"};
  BOOST_CHECK(publish(Request).m_Status == PublishStatus::Accepted);
}

// Guards against publishing with an assumed base version while the log is
// unavailable, or truncated without a snapshot.
BOOST_AUTO_TEST_CASE(NothingIsSentWithoutTheVersionInEffect) {
  StandinLog Log;
  Log.setMode({LogDown::Unavailable, {}, 0});
  BOOST_CHECK(publish(documentRequest(Log)).m_Status ==
              PublishStatus::NotReachable);
  Log.setMode({});
  Log.append("config", documentRecord("a", 0, sampleDocument()));
  Log.append("config", presetRecord("b", 1, "peak"));
  Log.truncate(1);
  PublishRequest ShortWait = documentRequest(Log);
  ShortWait.m_Timeout = milliseconds(100);
  BOOST_CHECK(publish(ShortWait).m_Status == PublishStatus::NotReachable);
  BOOST_TEST(appendsOf(Log) == 0);
  // A snapshot is appended while the publisher waits.
  auto Publishing = std::async(std::launch::async, [&Log] {
    return publish(documentRequest(Log)).m_Version;
  });
  std::this_thread::sleep_for(milliseconds(200));
  Log.append("config", snapshotRecord(2, 2, "peak"));
  BOOST_TEST(Publishing.get() == 3);
}

// Guards against waiting for, or retrying, a change that can't be accepted any
// more, and against reporting an unknown outcome as a failure.
BOOST_AUTO_TEST_CASE(LostAppendIsSettledOnlyByAnotherChange) {
  StandinLog Log;
  StandinLogMode LoseOne;
  LoseOne.m_LoseAppends = 1;
  Log.setMode(LoseOne);
  PublishRequest Request = documentRequest(Log);
  Request.m_Timeout = milliseconds(300);
  BOOST_CHECK(publish(Request).m_Status == PublishStatus::Unknown);
  BOOST_TEST(appendsOf(Log) == 0);

  Log.setMode(LoseOne);
  Request.m_Timeout = std::chrono::seconds(30);
  auto Publishing =
      std::async(std::launch::async, [Request] { return publish(Request); });
  waitForAppendRequests(Log, 2);
  Log.append("config", documentRecord("winner", 0, sampleDocument()));
  const PublishOutcome Outcome = Publishing.get();
  BOOST_CHECK(Outcome.m_Status == PublishStatus::LostRace);
  BOOST_TEST(Outcome.m_Detail.find("winner") != std::string::npos);
  BOOST_TEST(appendsOf(Log) == 0);
}

// Guards against reporting success or failure when the outcome is unknown
// because the log fails after the append was sent.
BOOST_AUTO_TEST_CASE(OutageAfterTheAppendGivesAnUnknownOutcome) {
  StandinLogOptions Slow;
  // Leaves this thread 1 s to reset the log before the append is answered.
  Slow.m_AppendTime = milliseconds(1000);
  StandinLog Log(Slow);
  PublishRequest Request = documentRequest(Log);
  Request.m_Timeout = milliseconds(1400);
  auto Publishing =
      std::async(std::launch::async, [Request] { return publish(Request); });
  waitForAppendRequests(Log, 1);
  Log.setMode({LogDown::Reset, {}, 0});
  const PublishOutcome Outcome = Publishing.get();
  BOOST_CHECK(Outcome.m_Status == PublishStatus::Unknown);
  BOOST_TEST(!Outcome.m_ChangeId.empty());
  BOOST_TEST(appendsOf(Log) == 1);
}

// Guards against a stream on which publishing is no longer possible after all
// entries were replaced and the last snapshot was truncated, and against a
// recovery that overrides a version in effect.
BOOST_AUTO_TEST_CASE(RecoveryRestoresAStreamWithoutSnapshotOnly) {
  StandinLog Log;
  publish(documentRequest(Log));
  Log.append("config", presetRecord("p", 1, "peak"));
  RecoveryRequest Request;
  Request.m_LogAddress = Log.address();
  Request.m_Document = sampleDocument();
  Request.m_Preset = "ordinary";
  Request.m_Version = 7;
  Request.m_Timeout = milliseconds(100);
  BOOST_CHECK(recoverConfig(Request).m_Status == PublishStatus::Rejected);
  Log.truncate(1);
  const PublishOutcome Recovered = recoverConfig(Request);
  BOOST_CHECK(Recovered.m_Status == PublishStatus::Accepted);
  BOOST_TEST(Recovered.m_Version == 7U);
  BOOST_TEST(publish(documentRequest(Log)).m_Version == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
