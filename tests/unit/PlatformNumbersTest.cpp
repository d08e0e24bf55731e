// Numbers of callers, endpoints, operators and the store that do not fit the
// types in which they are kept.
#include "platform/ConfigurationWire.h"
#include "platform/EndpointWire.h"
#include "platform/JobWire.h"
#include "platform/JsonNumbers.h"
#include "platform/StoreWire.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace cyclamencroft;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr std::uint32_t Max32 = UINT32_MAX;
/// Numbers whose low 32 bits are 0 or small, and one beyond 64 bits.
const std::vector<std::string> NumbersBeyond32Bits = {
    "4294967296", "4294967297", "8589934592", "18446744069414584320", "1e300"};

std::variant<JobDeclaration, std::string>
readJobWith(const std::string &StepField, const std::string &JobField = "") {
  return platform::readJob(
      JobId{1}, R"({"specification":"","best_effort":true,)" + JobField +
                    R"("steps":[{"count":1},{)" + StepField + "}]}");
}

StepDeclaration stepWith(const std::string &Field) {
  const auto Read = readJobWith(R"("count":1,)" + Field);
  BOOST_REQUIRE(std::holds_alternative<JobDeclaration>(Read));
  return std::get<JobDeclaration>(Read).m_Steps[1];
}

bool isMalformed(const std::variant<JobDeclaration, std::string> &Read) {
  return std::holds_alternative<std::string>(Read);
}

platform::Announcement readHeartbeatWith(const std::string &Field,
                                         const std::string &Room) {
  HttpRequest Request(boost::beast::http::verb::put, "/-/instances/i-7f", 11);
  Request.body() =
      R"({"service":"desk","address":"10.128.0.9:8080","zone":"quimper",)"
      R"("slots":8,"state":"ready","sequence":4,"born":1700000000000,)" +
      Field + R"(,"room":{)" + Room + "}}";
  return platform::readAnnouncement(Request);
}

HoldAnswered readHoldOf(const std::string &Running, const std::string &Ended,
                        const std::string &Born = "1000",
                        const std::string &Clock = "5") {
  return platform::readHold(
      1, HttpResponse{200,
                      {},
                      R"({"clock_ms":)" + Clock + R"(,"born":)" + Born +
                          R"(,"running":[)" + Running + R"(],"ended":[)" +
                          Ended + "]}"});
}

QueuePolicy policyWith(const std::string &Fields) {
  const auto Read = platform::readConfiguration(
      R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
      R"("service":"desk",)" +
      Fields + "}]}");
  BOOST_REQUIRE(std::holds_alternative<QueueTablePtr>(Read));
  const auto Found = std::get<QueueTablePtr>(Read)->find("h", "/p/1");
  BOOST_REQUIRE(Found.has_value());
  return Found->m_Queue->m_Policy;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformNumbers)

// Guards against starting tasks on endpoints that are far too small for them: a
// size was taken modulo 2^32 (review case 12).
BOOST_AUTO_TEST_CASE(ASizeThatIsTooLargeFitsNoEndpoint) {
  const auto Largest = readHeartbeatWith(
      R"("clock_ms":1)",
      R"("cpu":18446744073709551615,"mem_mb":18446744073709551615,)"
      R"("gpu":18446744073709551615)");
  BOOST_REQUIRE(std::holds_alternative<EndpointHeartbeat>(Largest));
  const Size Capacity = std::get<EndpointHeartbeat>(Largest).m_View.m_Capacity;
  for (const std::string &Number : NumbersBeyond32Bits)
    for (const char *Name : {"cpu", "mem_mb", "gpu"})
      BOOST_TEST_CONTEXT(Name << " " << Number) {
        const Size Need =
            stepWith("\"" + std::string(Name) + "\":" + Number).m_Need;
        BOOST_TEST(!Capacity.holds(Need));
        BOOST_TEST(!Capacity.holds(Need + Size{1000, 64, 1}));
      }
}

// Guards against a task that gets less than it asks for.
BOOST_AUTO_TEST_CASE(FractionsOfSizesAndTimesAreRoundedUp) {
  const StepDeclaration Step =
      stepWith(R"("cpu":0.5,"mem_mb":64.0,"gpu":1.2,"estimated_ms":59.5)");
  BOOST_TEST((Step.m_Need == Size{1, 64, 2}));
  BOOST_TEST((Step.m_Estimate == 60ms));
}

// Guards against reading a negative number, a fraction or a value of another
// type as some other number.
BOOST_AUTO_TEST_CASE(NumbersOfAnotherKindMakeAJobMalformed) {
  for (const char *Name :
       {"cpu", "mem_mb", "gpu", "estimated_ms", "anti_affinity"})
    for (const char *Value :
         {"-1", "-0.5", "-4294967297", "true", "null", "\"1\"", "[1]"})
      BOOST_TEST_CONTEXT(Name << " " << Value)
  BOOST_TEST(isMalformed(
      readJobWith(R"("count":1,")" + std::string(Name) + "\":" + Value)));
  for (const char *Field :
       {R"("count":1.5)", R"("count":4294967297)", R"("count":true)",
        R"("count":1,"anti_affinity":1.5)", R"("count":1,"after":[4294967296])",
        R"("count":1,"after":[-4294967296])", R"("count":1,"after":[0.5])",
        R"("count":1,"after":0)"})
    BOOST_TEST_CONTEXT(Field) { BOOST_TEST(isMalformed(readJobWith(Field))); }
  BOOST_TEST(isMalformed(readJobWith(R"("count":1)", R"("repetitions":-1,)")));
}

// Guards against running a job once that its caller wants many times, and
// against more tasks on one endpoint than the caller allows.
BOOST_AUTO_TEST_CASE(LargeCountsKeepTheirMeaning) {
  const auto Repeated =
      readJobWith(R"("count":1)", R"("repetitions":4294967296,)");
  BOOST_REQUIRE(std::holds_alternative<JobDeclaration>(Repeated));
  BOOST_TEST(std::get<JobDeclaration>(Repeated).m_UnsupportedFeature ==
             "scheduled jobs");
  BOOST_TEST(stepWith(R"("anti_affinity":4294967296)").m_MaxTasksPerEndpoint ==
             Max32);
}

// Guards against sums of times that overflow and make a deadline or an
// objective lie in the past.
BOOST_AUTO_TEST_CASE(TimesAreBounded) {
  for (const char *Number :
       {"86400001", "9223372036854775807", "18446744073709551615", "1e300"})
    BOOST_TEST_CONTEXT(Number) {
      BOOST_TEST(
          (stepWith(R"("estimated_ms":)" + std::string(Number)).m_Estimate ==
           platform::MaxReadTime));
      const QueuePolicy Policy =
          policyWith(R"("stretch":1e300,"timeout_ms":)" + std::string(Number) +
                     R"(,"target_latency_ms":)" + Number);
      BOOST_TEST((Policy.m_Timeout == platform::MaxReadTime));
      BOOST_TEST((Policy.m_TargetLatency == platform::MaxReadTime));
      BOOST_TEST(Policy.m_Stretch <= 1000);
    }
  HttpRequest Request(boost::beast::http::verb::post, "/desk/1", 11);
  Request.set("Cyclamencroft-Deadline-Milliseconds", "9223372036854775807");
  BOOST_TEST(
      (platform::callerTimeout(Request, 1500ms) == platform::MaxReadTime));
}

// Guards against a queue that comes first, or whose tasks fail at once, because
// its number was narrowed to 0.
BOOST_AUTO_TEST_CASE(NumbersOfAQueueAreNotNarrowed) {
  const QueuePolicy Policy = policyWith(
      R"("timeout_ms":1,"priority":4294967296,"max_attempts":4294967296)");
  BOOST_TEST(Policy.m_Priority == Max32);
  BOOST_TEST(Policy.m_MaxAttempts == Max32);
  for (const char *Fields :
       {R"("timeout_ms":-1)", R"("timeout_ms":1,"priority":-1)",
        R"("timeout_ms":1,"max_attempts":1.5)", R"("priority":1)"})
    BOOST_TEST_CONTEXT(Fields) {
      const auto Read = platform::readConfiguration(
          R"({"version":1,"routes":[{"name":"r","host":"h",)"
          R"("path_prefix":"/p/","service":"desk",)" +
          std::string(Fields) + "}]}");
      BOOST_TEST(std::holds_alternative<std::string>(Read));
    }
}

// Guards against ending or keeping a run because the number of another one was
// narrowed to its number, and against acknowledging ends that were not listed.
BOOST_AUTO_TEST_CASE(NumbersInTheListsOfAnEndpointAreNotNarrowed) {
  const std::string Task = R"("5c0e7a21d94b36f8.0.1.17")";
  const HoldAnswered Beyond =
      readHoldOf("[" + Task + R"(,4294967298,"",0])",
                 "[1," + Task + R"(,4294967298,"done",""])");
  BOOST_TEST((Beyond.m_Fault == CallFault::None));
  BOOST_TEST(Beyond.m_Running.empty());
  BOOST_REQUIRE(Beyond.m_Ended.size() == 1U);
  BOOST_TEST((Beyond.m_Ended[0].m_Run == RunName{}));
  for (const HoldAnswered &Each :
       {readHoldOf("[" + Task + R"(,-1,"",0])", ""),
        readHoldOf("[" + Task + R"(,1.5,"",0])", ""),
        readHoldOf("", "[-1," + Task + R"(,1,"done",""])"),
        readHoldOf("", "[1.5," + Task + R"(,1,"done",""])"),
        readHoldOf("", "", "-1"), readHoldOf("", "", "1000.5")})
    BOOST_TEST((Each.m_Fault == CallFault::Invalid));
}

// Guards against leases that are computed from a clock reading that overflows.
BOOST_AUTO_TEST_CASE(ReadingsThatNoClockShowsAreIgnored) {
  for (const char *Clock :
       {"9223372036854775807", "18446744073709551615", "-1", "1.5", "1e300"})
    BOOST_TEST_CONTEXT(Clock) {
      BOOST_TEST(!readHoldOf("", "", "1000", Clock).m_Clock.has_value());
      const auto Read = readHeartbeatWith(R"("clock_ms":)" + std::string(Clock),
                                          R"("cpu":1,"mem_mb":1)");
      BOOST_TEST(std::holds_alternative<std::string>(Read));
    }
  BOOST_TEST(readHoldOf("", "", "1000", "5").m_Clock.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
