// Tests which of the platform's messages are accepted, how they are parsed, and
// how messages to the platform are encoded.
#include "platform/ConfigurationWire.h"
#include "platform/EndpointWire.h"
#include "platform/JobWire.h"
#include "platform/StoreWire.h"

#include "http/HttpConnectionPool.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <iterator>
#include <random>

using namespace cyclamencroft;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

HttpResponse answer(unsigned Status, const Json &Body) {
  return {Status, {}, Body.dump()};
}

const RunName Run{{JobId{0x5c0e7a21d94b36f8}, 1, 17}, 2};
const char JobText[] =
    R"({"specification":"spec","best_effort":true,"steps":[{"count":4,"cpu":500,)"
    R"("mem_mb":256,"estimated_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
    R"("mem_mb":1024,"estimated_ms":7000,"after":[0],"requirements":"a",)"
    R"("anti_affinity":3}]})";

JobDeclaration readValidJob(const std::string &Text) {
  auto Read = platform::readJob(JobId{1}, Text);
  BOOST_REQUIRE(std::holds_alternative<JobDeclaration>(Read));
  return std::get<JobDeclaration>(Read);
}

HttpRequest heartbeatRequest(const Json &Body) {
  HttpRequest Request(boost::beast::http::verb::put, "/-/instances/i-7f", 11);
  Request.body() = Body.dump();
  return Request;
}

const Json HeartbeatBody = {
    {"service", "desk"},
    {"address", "10.128.0.9:8080"},
    {"zone", "quimper"},
    {"slots", 8},
    {"state", "ready"},
    {"room", {{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 1}}},
    {"labels", {"a", "r1-3"}},
    {"clock_ms", 482113},
    {"sequence", 4},
    {"born", 1700000000000}};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformWire)

// Guards against confusing fields of a job with each other.
BOOST_AUTO_TEST_CASE(AJobIsReadWithItsSteps) {
  const JobDeclaration Job = readValidJob(JobText);
  BOOST_TEST(bytesOf(Job.m_Specification) == "spec");
  BOOST_TEST(Job.m_UnsupportedFeature.empty());
  BOOST_REQUIRE(Job.m_Steps.size() == 2);
  BOOST_TEST(Job.m_Steps[0].m_Need.m_MilliCores == 500U);
  BOOST_TEST(Job.m_Steps[0].m_DataRack == "r1-3");
  BOOST_TEST((Job.m_Steps[0].m_Estimate == 900ms));
  BOOST_TEST(Job.m_Steps[1].m_RequiredLabel == "a");
  BOOST_TEST(Job.m_Steps[1].m_MaxTasksPerEndpoint == 3U);
  BOOST_TEST((Job.m_Steps[1].m_Dependencies == std::vector<std::uint32_t>{0}));
}

// Guards against accepting a job while ignoring features that aren't supported.
BOOST_AUTO_TEST_CASE(UnsupportedJobFeaturesAreNamed) {
  BOOST_TEST(readValidJob(R"({"specification":"","steps":[{"count":1}]})")
                 .m_UnsupportedFeature == "jobs that must be stored");
  BOOST_TEST(readValidJob(R"({"specification":"","best_effort":true,)"
                          R"("steps":[{"count":1,"gang":true}]})")
                 .m_UnsupportedFeature == "gangs");
  BOOST_TEST(readValidJob(R"({"specification":"","best_effort":true,)"
                          R"("repetitions":3,"steps":[{"count":1}]})")
                 .m_UnsupportedFeature == "scheduled jobs");
}

// Guards against a malformed body that crashes an entry or starts tasks.
BOOST_AUTO_TEST_CASE(MalformedJobsAreRefusedWithAReason) {
  const std::string Oversized = R"({"specification":")" +
                                std::string(4001, 's') +
                                R"(","steps":[{"count":1}]})";
  for (const char *Text :
       {Oversized.c_str(), "", "[]", "{", R"({"steps":[]})",
        R"({"specification":"","steps":[]})",
        R"({"specification":"","steps":[{"count":0}]})",
        R"({"specification":"","steps":[{"count":-1}]})",
        R"({"specification":"","steps":[{"count":99999}]})",
        R"({"specification":"","steps":[{"count":1,"after":[0]}]})",
        R"({"specification":"","steps":[{"count":1,"cpu":"x"}]})"}) {
    const auto Read = platform::readJob(JobId{1}, Text);
    BOOST_TEST_CONTEXT(Text) {
      BOOST_REQUIRE(std::holds_alternative<std::string>(Read));
      BOOST_TEST(!std::get<std::string>(Read).empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(JobIdsHave16HexadecimalDigits) {
  BOOST_TEST((parseJobId("5c0e7a21d94b36f8") == JobId{0x5c0e7a21d94b36f8}));
  BOOST_TEST(!parseJobId("5c0e7a21d94b36f").has_value());
  BOOST_TEST(!parseJobId("5c0e7a21d94b36fx").has_value());
  BOOST_TEST(!parseJobId("").has_value());
}

// Guards against taking two jobs for one, and against telling endpoints or
// operators an id that no caller has sent.
BOOST_AUTO_TEST_CASE(JobIdsKeepTheCaseOfTheirDigits) {
  const auto Lower = parseJobId("abcdef0123456789");
  for (const std::string Text :
       {"ABCDEF0123456789", "aBcDeF0123456789", "abcdef0123456789",
        "0000000000000000", "000000000000000F", "FFFFFFFFFFFFFFFF"}) {
    const auto Id = parseJobId(Text);
    BOOST_REQUIRE(Id.has_value());
    BOOST_TEST(toHex(*Id) == Text);
    BOOST_TEST((*Id == *Lower) == (Text == "abcdef0123456789"));
    const TaskName Task{*Id, 1, 17};
    BOOST_TEST(platform::encodeTaskName(Task) == Text + ".0.1.17");
    BOOST_TEST((platform::readTaskName(Text + ".0.1.17") == Task));
  }
}

// Guards against a run that is taken for another one because an endpoint lists
// its task under a name that was never sent to it.
BOOST_AUTO_TEST_CASE(OnlyNamesAsTheyWereSentNameATask) {
  BOOST_TEST(platform::readTaskName("5c0e7a21d94b36f8.0.1.17").has_value());
  for (const char *Text :
       {"", "5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1",
        "5c0e7a21d94b36f8.0.1.17.", "5c0e7a21d94b36f8.0.01.17",
        "5c0e7a21d94b36f8.0.1.017", "5c0e7a21d94b36f8.1.1.17",
        "5c0e7a21d94b36f8.0.1.4294967296", "5c0e7a21d94b36f8.0.-1.17",
        "5c0e7a21d94b36f8.0.+1.17", "5c0e7a21d94b36f.0.1.17",
        "05c0e7a21d94b36f8.0.1.17", "5c0e7a21d94b36f8..0.1.17",
        "5c0e7a21d94b36f80.0.1.17", "5c0e7a21d94b36f8 .0.1.17"})
    BOOST_TEST_CONTEXT(Text)
  BOOST_TEST(!platform::readTaskName(Text).has_value());
}

// Guards against answering "not run" for a job that may have run.
BOOST_AUTO_TEST_CASE(OnlyNotRunIsAnsweredWithARefusal) {
  JobAnswer Answer;
  BOOST_TEST(platform::encodeAnswer(Answer).m_Body ==
             R"({"state":"completed"})");
  Answer.m_Outcome = JobOutcome::Failed;
  BOOST_TEST(platform::encodeAnswer(Answer).m_Status == 200U);
  Answer.m_Outcome = JobOutcome::GivenUp;
  BOOST_TEST(platform::encodeAnswer(Answer).m_Status == 504U);
  Answer.m_Outcome = JobOutcome::NotRun;
  Answer.m_RetryAfter = 1200ms;
  const HttpResponse Refusal = platform::encodeAnswer(Answer);
  BOOST_TEST(Refusal.m_Status == 503U);
  BOOST_TEST(Refusal.header("Retry-After") == "2");
}

BOOST_AUTO_TEST_CASE(CallerTimeoutIsTheHeaderOrTheDefault) {
  HttpRequest Request(boost::beast::http::verb::post, "/", 11);
  BOOST_TEST((platform::callerTimeout(Request, 7s) == 7s));
  Request.set("Cyclamencroft-Deadline-Milliseconds", "1500");
  BOOST_TEST((platform::callerTimeout(Request, 7s) == 1500ms));
  Request.set("Cyclamencroft-Deadline-Milliseconds", "soon");
  BOOST_TEST((platform::callerTimeout(Request, 7s) == 7s));
}

BOOST_AUTO_TEST_CASE(AConfigurationBecomesQueues) {
  const auto Read = platform::readConfiguration(
      R"({"version":7,"routes":[{"name":"r1","host":"a.example","path_prefix":)"
      R"("/x/","timeout_ms":1500,"target_latency_ms":60,"priority":2,"service":)"
      R"("desk","max_attempts":2,"stretch":1.6}],"services":[],"limits":{}})");
  BOOST_REQUIRE(std::holds_alternative<QueueTablePtr>(Read));
  const QueueTablePtr Table = std::get<QueueTablePtr>(Read);
  BOOST_TEST(Table->version() == 7U);
  const auto Match = Table->find("a.example:80", "/x/abc");
  BOOST_REQUIRE(Match.has_value());
  BOOST_TEST(Match->m_PathSuffix == "abc");
  BOOST_TEST(Match->m_Queue->m_Policy.m_Stretch == 1.6);
  BOOST_TEST(Match->m_Queue->m_Policy.m_Priority == 2U);
  BOOST_TEST(!Table->find("b.example", "/x/abc").has_value());
  BOOST_TEST(!Table->find("a.example", "/y/abc").has_value());
}

// Guards against a malformed record that removes the current queues.
BOOST_AUTO_TEST_CASE(AMalformedConfigurationIsAnError) {
  for (const char *Text : {"", "[]", R"({"version":1})",
                           R"({"version":1,"routes":[{"name":"r1"}]})"})
    BOOST_TEST(
        std::holds_alternative<std::string>(platform::readConfiguration(Text)));
}

// Guards against a queue that shadows another one with a longer prefix.
BOOST_AUTO_TEST_CASE(TheLongestPrefixOfAHostWins) {
  std::vector<Queue> Queues(2);
  Queues[0].m_Host = Queues[1].m_Host = "a";
  Queues[0].m_PathPrefix = "/x/";
  Queues[1].m_PathPrefix = "/x/y/";
  Queues[1].m_Policy.m_Name = "longer";
  const QueueTable Table(1, Queues);
  BOOST_TEST(Table.find("a", "/x/y/1")->m_Queue->m_Policy.m_Name == "longer");
  BOOST_TEST(Table.find("a", "/x/1")->m_Queue->m_Policy.m_Name.empty());
}

BOOST_AUTO_TEST_CASE(AHeartbeatIsReadWithItsIdentityAndResources) {
  const auto Read = platform::readAnnouncement(heartbeatRequest(HeartbeatBody));
  BOOST_REQUIRE(std::holds_alternative<EndpointHeartbeat>(Read));
  const auto &Beat = std::get<EndpointHeartbeat>(Read);
  BOOST_TEST(Beat.m_EndpointIncarnation.m_Id == "i-7f");
  BOOST_TEST(Beat.m_EndpointIncarnation.m_StartedAtMs == 1700000000000U);
  BOOST_TEST(Beat.m_Clock == 482113);
  BOOST_TEST(Beat.m_View.m_Capacity.m_MilliCores == 16000U);
  BOOST_TEST((Beat.m_View.m_State == EndpointState::Active));
}

// Guards against using an endpoint because of an invalid heartbeat from another
// program.
BOOST_AUTO_TEST_CASE(HeartbeatsWithMissingOrMalformedFieldsAreRejected) {
  for (const char *Name : {"service", "address", "room", "born", "sequence",
                           "clock_ms", "state"}) {
    Json Without = HeartbeatBody;
    Without.erase(Name);
    BOOST_TEST(std::holds_alternative<std::string>(
        platform::readAnnouncement(heartbeatRequest(Without))));
    Json Malformed = HeartbeatBody;
    Malformed[Name] = Json::array();
    BOOST_TEST(std::holds_alternative<std::string>(
        platform::readAnnouncement(heartbeatRequest(Malformed))));
  }
  Json Negative = HeartbeatBody;
  Negative["room"]["cpu"] = -1;
  BOOST_TEST(std::holds_alternative<std::string>(
      platform::readAnnouncement(heartbeatRequest(Negative))));
  Json Unknown = HeartbeatBody;
  Unknown["state"] = "resting";
  BOOST_TEST(std::holds_alternative<std::string>(
      platform::readAnnouncement(heartbeatRequest(Unknown))));
}

BOOST_AUTO_TEST_CASE(AStartNamesTaskRunLeaseAndToken) {
  const HttpCall Call = platform::encodeStart(
      {{"127.0.0.1:9", {"i-7f", 9}, 7}, Run, makePayload("spec"), 486000});
  const Json Body = Json::parse(Call.m_Body);
  BOOST_TEST(Body["task"] == "5c0e7a21d94b36f8.0.1.17");
  BOOST_TEST(Body["run"] == 2);
  BOOST_TEST(Body["deadline_ms"] == 486000);
  BOOST_TEST(Body["fencing_token"] == 7);
  BOOST_TEST(Call.m_Target == "/-/run-start");
}

// Guards against a start that is executed by a later process of the endpoint,
// which has the same id and may have other labels or less capacity.
BOOST_AUTO_TEST_CASE(OnlyTheExpectedProcessPassesThePeerCheck) {
  const auto Check = platform::makePeerCheck({"127.0.0.1:9", {"i-7f", 9}, 7});
  const auto Later = platform::makePeerCheck({"127.0.0.1:9", {"i-7f", 10}, 7});
  BOOST_TEST(Check->m_Identity != Later->m_Identity);
  const auto Question = Json::parse(Check->m_Question.m_Body);
  BOOST_TEST(!Question.contains("deadline_ms"));
  BOOST_TEST(Question["last_seen"] == 0);
  const auto FaultOf = [&](const HttpResponse &Response) {
    const auto Rejection = Check->m_Reject(Response);
    return Rejection ? platform::readStart(Run, *Rejection).m_Fault
                     : CallFault::None;
  };
  const auto Holding = [](std::uint64_t Born) {
    return answer(200, {{"clock_ms", 5},
                        {"born", Born},
                        {"running", Json::array()},
                        {"ended", Json::array()}});
  };
  BOOST_TEST((FaultOf(Holding(9)) == CallFault::None));
  BOOST_TEST((FaultOf(Holding(10)) == CallFault::OtherIncarnation));
  BOOST_TEST((FaultOf(answer(421, {})) == CallFault::OtherIncarnation));
  BOOST_TEST((FaultOf(answer(503, {})) == CallFault::Unhealthy));
  BOOST_TEST((FaultOf(answer(200, {})) == CallFault::NoAnswer));
  // A fenced agent must learn of it, to raise its token.
  const auto Fenced = Check->m_Reject(answer(409, {{"reason", "fence"}}));
  BOOST_REQUIRE(Fenced.has_value());
  BOOST_TEST(
      (platform::readStart(Run, *Fenced).m_Result == StartResult::Fenced));
}

// Guards against treating a refusal or a missing answer as a start.
BOOST_AUTO_TEST_CASE(AnswersToAStartAreDistinguished) {
  const auto Read = [](const HttpOutcome &Outcome) {
    return platform::readStart(Run, Outcome);
  };
  const StartAnswered Started = Read(answer(200, {{"clock_ms", 5}}));
  BOOST_TEST((Started.m_Result == StartResult::Started));
  BOOST_TEST((Started.m_Clock == 5));
  const auto Refused = [&](const char *Reason) {
    return Read(answer(409, {{"clock_ms", 5}, {"reason", Reason}}));
  };
  BOOST_TEST((Refused("fence").m_Result == StartResult::Fenced));
  BOOST_TEST((Refused("old").m_Result == StartResult::Superseded));
  BOOST_TEST((Refused("late").m_Result == StartResult::Late));
  BOOST_TEST((Refused("room").m_Result == StartResult::NoCapacity));
  BOOST_TEST((Refused("odd").m_Fault == CallFault::Invalid));
  BOOST_TEST((Read(answer(421, {})).m_Fault == CallFault::OtherIncarnation));
  BOOST_TEST((Read(answer(503, {})).m_Fault == CallFault::Unhealthy));
  BOOST_TEST(
      (Read(Error{"read response", "", ""}).m_Fault == CallFault::NoAnswer));
  BOOST_TEST((Read(Error{std::string(ConnectStep), "", ""}).m_Fault ==
              CallFault::NotSent));
  BOOST_TEST((Read(Error{std::string(ConnectRefusedStep), "", ""}).m_Fault ==
              CallFault::Refused));
}

// Guards against an answer that ends the process, and against one that can't be
// read and is taken for a rejection although the run was started.
BOOST_AUTO_TEST_CASE(MalformedAnswersToCallsAreNoProof) {
  const auto Read = [](unsigned Status, const std::string &Body) {
    return platform::readStart(Run, HttpResponse{Status, {}, Body});
  };
  for (const char *Body : {"", "[]", "{", "7", "\xff\xfe"})
    BOOST_TEST((Read(200, Body).m_Fault == CallFault::NoAnswer));
  BOOST_TEST((Read(500, "").m_Fault == CallFault::NoAnswer));
  for (const char *Body : {"{}", R"({"reason":7})", R"({"reason":["fence"]})"})
    BOOST_TEST((Read(409, Body).m_Fault == CallFault::Invalid));
  BOOST_TEST((platform::readStop(Run, answer(409, {{"reason", 7}})).m_Fault ==
              CallFault::Invalid));
  const StartAnswered Answer = Read(200, R"({"clock_ms":1e300})");
  BOOST_TEST((Answer.m_Fault == CallFault::None));
  BOOST_TEST(!Answer.m_Clock.has_value());
}

// Guards against any answer of an endpoint that ends the process: bytes of
// valid answers are replaced, inserted and removed at random.
BOOST_AUTO_TEST_CASE(MutatedAnswersAndAnnouncementsDoNotThrow) {
  const std::string Valid[] = {
      R"({"clock_ms":5,"reason":"fence"})",
      R"({"clock_ms":5,"born":9,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
      HeartbeatBody.dump()};
  constexpr char Replacements[] = "{}[]\",:-.0917eEtfnu\\ \xff";
  std::minstd_rand Random(1);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Body = Valid[Random() % std::size(Valid)];
    for (unsigned Edits = 1 + Random() % 4; Edits > 0 && !Body.empty();
         --Edits) {
      const std::size_t At = Random() % Body.size();
      const char Byte = Replacements[Random() % (sizeof(Replacements) - 1)];
      switch (Random() % 3) {
      case 0:
        Body[At] = Byte;
        break;
      case 1:
        Body.insert(At, 1, Byte);
        break;
      default:
        Body.erase(At, 1 + Random() % 8);
      }
    }
    const unsigned Status = Random() % 2 == 0 ? 200 : 409;
    const HttpResponse Response{Status, {}, Body};
    BOOST_TEST_CONTEXT(Body) {
      BOOST_REQUIRE_NO_THROW(platform::readStart(Run, Response));
      BOOST_REQUIRE_NO_THROW(platform::readStop(Run, Response));
      BOOST_REQUIRE_NO_THROW(platform::readHold(1, Response));
      HttpRequest Request(boost::beast::http::verb::put, "/-/instances/i", 11);
      Request.body() = Body;
      BOOST_REQUIRE_NO_THROW(platform::readAnnouncement(Request));
      BOOST_REQUIRE_NO_THROW(platform::readConfiguration(Body));
      BOOST_REQUIRE_NO_THROW(platform::readJob(JobId{1}, Body));
    }
  }
}

BOOST_AUTO_TEST_CASE(AHoldListsRunningAndEndedRuns) {
  const HoldAnswered Answer = platform::readHold(
      3, answer(200,
                {{"clock_ms", 5},
                 {"born", 9},
                 {"running", {{"5c0e7a21d94b36f8.0.1.17", 2, "", 41}}},
                 {"ended", {{58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""}}}}));
  BOOST_TEST((Answer.m_Fault == CallFault::None));
  BOOST_TEST((Answer.m_Running == std::vector<RunName>{Run}));
  BOOST_REQUIRE(Answer.m_Ended.size() == 1);
  BOOST_TEST(Answer.m_Ended[0].m_Number == 58U);
  BOOST_TEST((Answer.m_Ended[0].m_End == RunEnd::Done));
  const HoldAnswered Malformed =
      platform::readHold(3, answer(200, {{"running", 1}}));
  BOOST_TEST((Malformed.m_Fault == CallFault::Invalid));
}

// Guards against records that are truncated or have offsets shifted by one.
BOOST_AUTO_TEST_CASE(RecordsAreReadAsTheyAreAppended) {
  const TopicStore Store = platform::makeTopicStore("127.0.0.1:9");
  const HttpCall Append = Store.m_AppendCall("keyed.x", {"key", "value", 0});
  const HttpResponse Response{200, {}, std::string(16, '\0') + Append.m_Body};
  const auto Read = Store.m_ReadRecords(Response, 40);
  BOOST_REQUIRE(std::holds_alternative<RecordBatch>(Read));
  const auto &Batch = std::get<RecordBatch>(Read);
  BOOST_REQUIRE(Batch.m_Records.size() == 1);
  BOOST_TEST(Batch.m_Records[0].m_Key == "key");
  BOOST_TEST(Batch.m_Records[0].m_Value == "value");
  BOOST_TEST(Batch.m_Next == 41U);
  HttpResponse Truncated = Response;
  Truncated.m_Body.pop_back();
  BOOST_TEST(
      std::holds_alternative<StoreFault>(Store.m_ReadRecords(Truncated, 40)));
  BOOST_TEST(std::holds_alternative<RecordsExpired>(
      Store.m_ReadRecords({410, {}, "{}"}, 40)));
}

BOOST_AUTO_TEST_CASE(ThePageOfNewestRecordsIsDecoded) {
  const TopicStore Store = platform::makeTopicStore("127.0.0.1:9");
  const auto Read = Store.m_ReadNewest(answer(
      200, {{"items", {{{"key", "config"}, {"value", "e30="}, {"offset", 4}}}},
            {"truncated", true},
            {"end", 6}}));
  BOOST_REQUIRE(std::holds_alternative<NewestPage>(Read));
  const auto &Page = std::get<NewestPage>(Read);
  BOOST_TEST(Page.m_Records[0].m_Value == "{}");
  BOOST_TEST(Page.m_Truncated);
  BOOST_TEST(Page.m_End == 6U);
  BOOST_TEST(std::holds_alternative<StoreFault>(
      Store.m_ReadNewest(answer(200, Json::array()))));
  BOOST_TEST(
      std::holds_alternative<StoreFault>(Store.m_ReadNewest(answer(503, {}))));
}

BOOST_AUTO_TEST_SUITE_END()
