// Tests the interface of the stand-in log, on which other tests rely.
#include "bench/StandinLog.h"
#include "config/LogProtocol.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <list>
#include <thread>

using namespace cyclamencroft;
using std::chrono::milliseconds;

namespace {

HttpOutcome call(const HttpCall &Call) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<HttpOutcome> {
        BOOST_LEAF_AUTO(Response, httpCall(Call));
        return HttpOutcome(Response);
      },
      [](const Error &Fault) { return HttpOutcome(Fault); },
      [] {
        return HttpOutcome(Error{"unexpected", "", ""});
      });
}

LogReadOutcome readFrom(const StandinLog &Log, std::uint64_t From,
                        Duration Wait = {}) {
  return parseLogRead(Log.address(),
                      call(makeLogRead(Log.address(), {From}, Wait)));
}

LogAppendOutcome append(const StandinLog &Log, const std::string &Record) {
  return parseLogAppend(Log.address(),
                        call(makeLogAppend(Log.address(), Record)));
}

void postMode(const StandinLog &Log, const std::string &Json) {
  HttpCall Call;
  Call.m_Address = Log.address();
  Call.m_Method = "POST";
  Call.m_Target = "/mode";
  Call.m_Body = Json;
  BOOST_TEST(std::get<HttpResponse>(call(Call)).m_Status == 200);
}

} // namespace

BOOST_AUTO_TEST_SUITE(StandinOfTheLog)

// Guards against offsets that shift when retention drops records.
BOOST_AUTO_TEST_CASE(RetentionKeepsOffsets) {
  StandinLogOptions Options;
  Options.m_Retention = 2;
  const StandinLog Log(Options);
  for (const char *Record : {"a", "b", "c"})
    BOOST_CHECK(std::holds_alternative<std::uint64_t>(append(Log, Record)));
  BOOST_TEST(std::get<LogTruncated>(readFrom(Log, 0)).m_First == 1);
  const auto Batch = std::get<LogBatch>(readFrom(Log, 1));
  BOOST_TEST(Batch.m_First == 1);
  BOOST_TEST(Batch.m_Next == 3);
  BOOST_REQUIRE(Batch.m_Records.size() == 2);
  BOOST_TEST(Batch.m_Records[1].m_Offset == 2);
  BOOST_TEST(Batch.m_Records[1].m_Data == "c");
}

// Guards against a long poll that misses an append or never ends.
BOOST_AUTO_TEST_CASE(LongPollEndsOnAppendOrTimeout) {
  const StandinLog Log;
  const auto Empty = std::get<LogBatch>(readFrom(Log, 0, milliseconds(50)));
  BOOST_TEST(Empty.m_Records.empty());
  auto Waiting = std::async(std::launch::async, [&Log] {
    return readFrom(Log, 0, std::chrono::seconds(5));
  });
  std::this_thread::sleep_for(milliseconds(50));
  const TimePoint Before = RuntimeClock::now();
  append(Log, "a");
  BOOST_TEST(std::get<LogBatch>(Waiting.get()).m_Records.size() == 1);
  BOOST_CHECK(RuntimeClock::now() - Before < std::chrono::seconds(1));
}

// Guards against faults that lose the append instead of its reply.
BOOST_AUTO_TEST_CASE(LostReplyLeavesTheRecordInTheLog) {
  const StandinLog Log;
  postMode(Log, "{\"lose_replies\": 1}");
  BOOST_CHECK(std::holds_alternative<Error>(append(Log, "a")));
  BOOST_TEST(std::get<LogBatch>(readFrom(Log, 0)).m_Records.size() == 1);
}

// Guards against a log that stays down after its mode is cleared, or that
// isn't down while it is set.
BOOST_AUTO_TEST_CASE(ModesApplyAndEnd) {
  const StandinLog Log;
  for (const char *Down : {"reset", "unavailable"}) {
    postMode(Log, std::string(R"({"down": ")") + Down + "\"}");
    BOOST_CHECK(std::holds_alternative<Error>(append(Log, "a")));
    postMode(Log, R"({"down": "no"})");
    BOOST_CHECK(std::holds_alternative<std::uint64_t>(append(Log, "a")));
  }
  postMode(Log, R"({"slow_ms": 100, "truncate": 1})");
  const TimePoint Before = RuntimeClock::now();
  BOOST_CHECK(std::holds_alternative<LogTruncated>(readFrom(Log, 0)));
  BOOST_CHECK(RuntimeClock::now() - Before >= milliseconds(100));
}

// Guards against a stand-in that accepts appends faster than the platform's
// log.
BOOST_AUTO_TEST_CASE(AppendRateIsLimited) {
  StandinLogOptions Options;
  Options.m_AppendsPerSecond = 50;
  const StandinLog Log(Options);
  std::list<std::future<void>> Appending;
  const TimePoint Before = RuntimeClock::now();
  for (int Thread = 0; Thread < 4; ++Thread)
    Appending.push_back(std::async(std::launch::async, [&Log] {
      for (int I = 0; I < 5; ++I)
        append(Log, "a");
    }));
  for (auto &Thread : Appending)
    Thread.get();
  // 20 appends at 50 per second take 380 ms if the first one is not delayed.
  BOOST_CHECK(RuntimeClock::now() - Before >= milliseconds(380));
}

BOOST_AUTO_TEST_SUITE_END()
