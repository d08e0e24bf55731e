// Tests following a keyed topic across pages, outages and deleted records.
#include "store/TopicFollower.h"
#include "store/TopicAnnouncer.h"

#include "http/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// A store that encodes calls as plain paths, so that the test needs no wire
/// format.
struct Fixture {
  boost::asio::io_context m_Io{1};
  std::optional<HttpServer> m_Server;
  std::vector<KeyedRecord> m_Log;
  std::uint64_t m_FirstKept = 0;
  bool m_Down = false;
  std::size_t m_PageSize = 100;
  std::vector<KeyedRecord> m_Seen;
  int m_Appends = 0;

  Fixture() {
    m_Server.emplace(
        m_Io, "127.0.0.1:0",
        [this](const std::shared_ptr<HttpExchange> &Exchange) {
          Exchange->respond(serve(std::string(Exchange->request().target())));
        },
        HttpServer::Limits{});
  }

  HttpResponse serve(const std::string &Target) {
    if (m_Down)
      return {503, {}, ""};
    if (Target == "/append")
      ++m_Appends;
    return {200, {}, Target};
  }

  TopicStore store() {
    TopicStore Store;
    const auto Call = [this](std::string Target) {
      HttpCall Made;
      Made.m_Address = "127.0.0.1:" + std::to_string(m_Server->port());
      Made.m_Target = std::move(Target);
      return Made;
    };
    Store.m_NewestCall = [Call](const std::string &, const std::string &After) {
      return Call("/newest" + After);
    };
    Store.m_RecordsCall = [Call](const std::string &, std::uint64_t From,
                                 Duration) {
      return Call("/from" + std::to_string(From));
    };
    Store.m_AppendCall = [Call](const std::string &, const KeyedRecord &) {
      return Call("/append");
    };
    Store.m_ReadNewest = [this](const HttpResponse &Response)
        -> std::variant<NewestPage, StoreFault> {
      if (Response.m_Status != 200)
        return StoreFault{"down"};
      return newest(Response.m_Body.substr(std::string("/newest").size()));
    };
    Store.m_ReadRecords = [this](const HttpResponse &Response,
                                 std::uint64_t From)
        -> std::variant<RecordBatch, RecordsExpired, StoreFault> {
      if (Response.m_Status != 200)
        return StoreFault{"down"};
      if (From < m_FirstKept)
        return RecordsExpired{};
      RecordBatch Batch{{}, m_Log.size()};
      for (std::uint64_t Offset = From; Offset < m_Log.size(); ++Offset)
        Batch.m_Records.push_back(m_Log[Offset]);
      return Batch;
    };
    return Store;
  }

  NewestPage newest(const std::string &After) const {
    std::map<std::string, KeyedRecord> ByKey;
    for (const KeyedRecord &Each : m_Log)
      ByKey[Each.m_Key] = Each;
    NewestPage Page;
    Page.m_End = m_Log.size();
    for (auto Next = ByKey.upper_bound(After); Next != ByKey.end(); ++Next) {
      if (Page.m_Records.size() == m_PageSize) {
        Page.m_Truncated = true;
        break;
      }
      Page.m_Records.push_back(Next->second);
    }
    return Page;
  }

  void follow(TopicFollower &Follower, std::size_t Records) {
    Follower.start();
    runUntil(Records);
  }
  void runUntil(std::size_t Records) {
    const TimePoint Limit = RuntimeClock::now() + 5s;
    while (m_Seen.size() < Records && RuntimeClock::now() < Limit)
      m_Io.run_one_for(50ms);
    BOOST_REQUIRE(m_Seen.size() >= Records);
  }
  TopicFollower::Handler handler() {
    return [this](const KeyedRecord &Record) { m_Seen.push_back(Record); };
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TopicFollowing, Fixture)

// Guards against missing records between the list of newest records and the
// stream.
BOOST_AUTO_TEST_CASE(NewestRecordsComeFirstThenLaterOnes) {
  m_Log = {{"a", "1", 0}, {"a", "2", 1}};
  TopicFollower Follower(m_Io, store(), {"topic", "", 10ms}, handler());
  follow(Follower, 1);
  BOOST_TEST(m_Seen[0].m_Value == "2");
  m_Log.push_back({"a", "3", 2});
  runUntil(2);
  BOOST_TEST(m_Seen[1].m_Value == "3");
}

BOOST_AUTO_TEST_CASE(PagesOfNewestRecordsAreAllRead) {
  m_PageSize = 1;
  m_Log = {{"a", "1", 0}, {"b", "2", 1}, {"c", "3", 2}};
  TopicFollower Follower(m_Io, store(), {"topic", "", 10ms}, handler());
  follow(Follower, 3);
  BOOST_TEST(m_Seen[2].m_Key == "c");
}

// Guards against an entry that never receives changes made during a store
// outage.
BOOST_AUTO_TEST_CASE(ChangesDuringAnOutageAreSeenAfterIt) {
  m_Log = {{"a", "1", 0}};
  TopicFollower Follower(m_Io, store(), {"topic", "", 10ms}, handler());
  follow(Follower, 1);
  m_Down = true;
  m_Io.run_for(300ms);
  m_Log.push_back({"a", "2", 1});
  m_Down = false;
  runUntil(2);
  BOOST_TEST(m_Seen.back().m_Value == "2");
}

// Guards against a follower that stops making progress when its records were
// deleted.
BOOST_AUTO_TEST_CASE(DeletedRecordsAreReplacedByTheNewestOnes) {
  m_Log = {{"a", "1", 0}};
  TopicFollower Follower(m_Io, store(), {"topic", "", 10ms}, handler());
  follow(Follower, 1);
  m_Down = true;
  m_Io.run_for(100ms);
  m_Log.push_back({"a", "2", 1});
  m_FirstKept = 2;
  m_Down = false;
  runUntil(2);
  BOOST_TEST(m_Seen.back().m_Value == "2");
}

// Guards against a key that stays in use although the record that deleted it
// has expired unread.
BOOST_AUTO_TEST_CASE(AKeyWhoseDeletionHasExpiredIsDeliveredAsDeleted) {
  m_Log = {{"a", "1", 0}, {"b", "1", 1}};
  std::vector<std::uint64_t> Positions;
  TopicFollower Follower(m_Io, store(), {"topic", "", 10ms}, handler(),
                         [&](std::uint64_t End) { Positions.push_back(End); });
  follow(Follower, 2);
  m_Down = true;
  m_Io.run_for(100ms);
  m_Log = {{"b", "1", 0}, {"b", "1", 1}, {"b", "2", 2}, {"b", "2", 3}};
  m_FirstKept = 3;
  m_Down = false;
  runUntil(4);
  BOOST_TEST(m_Seen.back().m_Key == "a");
  BOOST_TEST(m_Seen.back().m_Value == "");
  BOOST_TEST(m_Seen.back().m_Offset == 3U);
  BOOST_TEST((Positions == std::vector<std::uint64_t>{2, 4}));
}

// Guards against a follower that stops after a record that its owner can't
// handle.
BOOST_AUTO_TEST_CASE(ARecordThatCantBeHandledIsSkipped) {
  m_Log = {{"a", "bad", 0}};
  TopicFollower Follower(m_Io, store(), {"topic", "", 10ms},
                         [this](const KeyedRecord &Record) {
                           if (Record.m_Value == "bad")
                             throw std::runtime_error("unexpected");
                           m_Seen.push_back(Record);
                         });
  Follower.start();
  m_Io.run_for(100ms);
  m_Log.push_back({"a", "2", 1});
  runUntil(1);
  BOOST_TEST(m_Seen[0].m_Value == "2");
}

BOOST_AUTO_TEST_CASE(OnlyTheWantedKeyIsHandled) {
  m_Log = {{"a", "1", 0}, {"b", "2", 1}};
  TopicFollower Follower(m_Io, store(), {"topic", "b", 10ms}, handler());
  follow(Follower, 1);
  BOOST_TEST(m_Seen[0].m_Key == "b");
}

// Guards against an entry that agents never discover because the store was down
// when the entry started.
BOOST_AUTO_TEST_CASE(AnAnnouncementIsRepeatedUntilTheStoreAcceptsIt) {
  m_Down = true;
  TopicAnnouncer Announcer(m_Io, store(), "topic", {"entry-1", "address", 0});
  Announcer.start();
  m_Io.run_for(400ms);
  BOOST_TEST(m_Appends == 0);
  m_Down = false;
  m_Io.run_for(600ms);
  BOOST_TEST(m_Appends == 1);
}

BOOST_AUTO_TEST_SUITE_END()
