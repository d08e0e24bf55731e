// Parsing of callers' requests and jobs, and the responses to them.
#include "core/RcuPointer.h"
#include "core/SocketAddress.h"
#include "entry/EntryResponses.h"
#include "entry/JobRequest.h"
#include "entry/RequestHeaders.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <thread>

using namespace cyclamencroft;

namespace {

std::string faultOf(const std::string &Json) {
  return parseJobRequest(Json).m_Error;
}

std::string faultOf(const char *Header, const char *Value) {
  HttpRequest Request;
  Request.set(Header, Value);
  return readRequestHeaders(Request).m_Fault;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryInput)

// Guards against running jobs of which a part could not be parsed, and against
// errors without a position.
BOOST_AUTO_TEST_CASE(JobsAreParsedStrictly) {
  const JobRequest Job = parseJobRequest(R"({"tasks": ["a", "\u00e9", ""]})");
  BOOST_TEST(Job.m_Error.empty());
  BOOST_REQUIRE(Job.m_Tasks.size() == 3U);
  BOOST_TEST(*Job.m_Tasks[1] == "\xc3\xa9");
  BOOST_TEST(faultOf(R"({"tasks": ["a", 7]})") ==
             "tasks[1]: expected a string, found a number");
  BOOST_TEST(faultOf(R"({"tasks": ["a", ["b"]]})") ==
             "tasks[1]: expected a string, found an array");
  BOOST_TEST(faultOf(R"({"tasks": "a"})") ==
             "tasks: expected an array, found a string");
  BOOST_TEST(faultOf(R"({"task": []})") ==
             "unknown key \"task\"; valid: \"tasks\"");
  BOOST_TEST(faultOf(R"({"tasks": ["a"], "tasks": ["b"]})") ==
             "key \"tasks\" appears twice");
  BOOST_TEST(faultOf("{}") == "key \"tasks\" is missing");
  BOOST_TEST(faultOf("[]") == "expected an object, found an array");
  BOOST_TEST(faultOf(R"({"tasks": []})") == "tasks: empty; 1 to 200 are valid");
  BOOST_TEST(faultOf(R"({"tasks": ["a"]} x)").find("malformed JSON at byte") ==
             0U);
  BOOST_TEST(faultOf(R"({"tasks": ["a")").find("malformed JSON at byte 15") ==
             0U);
  BOOST_TEST(!faultOf("").empty());
  BOOST_TEST(!faultOf(std::string(100000, '[')).empty());
}

// Guards against accepting jobs and tasks beyond the limits.
BOOST_AUTO_TEST_CASE(JobLimitsAreEnforced) {
  nlohmann::json Job = {{"tasks", std::vector<std::string>(200, "x")}};
  BOOST_TEST(parseJobRequest(Job.dump()).m_Tasks.size() == 200U);
  Job["tasks"].push_back("x");
  BOOST_TEST(faultOf(Job.dump()) == "tasks: more than 200");
  Job["tasks"] = {"a", std::string(MaxRequestBytes + 1, 'x')};
  BOOST_TEST(faultOf(Job.dump()) == "tasks[1]: 65537 bytes, at most 65536");
  BOOST_TEST(faultOf(std::string(MaxJobBytes + 1, ' ')).find("job of ") == 0U);
}

// Guards against malformed headers that are ignored or misinterpreted.
BOOST_AUTO_TEST_CASE(HeadersAreParsedStrictly) {
  HttpRequest Request;
  Request.set("Cyclamencroft-Request-Id", "0000000000000001000000000000000A");
  Request.set("cyclamencroft-team", "permits");
  Request.set("Cyclamencroft-Non-Idempotent", "true");
  Request.set("Cyclamencroft-Key", "permit-7");
  Request.set("Cyclamencroft-Deadline-Ms", "1500");
  Request.set("Cyclamencroft-Need", "cores=2, memory-mib=512,accelerators=1");
  const RequestHeaders Read = readRequestHeaders(Request);
  BOOST_TEST(Read.m_Fault == "");
  BOOST_TEST((Read.m_Request == RequestId{1, 10}));
  BOOST_TEST(Read.m_Team == "permits");
  BOOST_TEST(Read.m_Key == "permit-7");
  BOOST_TEST(Read.m_NonIdempotent);
  BOOST_TEST(Read.m_Deadline.count() == 1500000);
  BOOST_TEST(Read.m_Need.m_MilliCores == 2000U);
  BOOST_TEST(Read.m_Need.m_MemoryMiB == 512U);
  BOOST_TEST(Read.m_Need.m_Accelerators == 1U);

  BOOST_TEST(faultOf("Cyclamencroft-Deadline-Ms", "1s") ==
             "header Cyclamencroft-Deadline-Ms = \"1s\": valid are 1 to "
             "86400000");
  BOOST_TEST(!faultOf("Cyclamencroft-Deadline-Ms", "-1").empty());
  BOOST_TEST(!faultOf("Cyclamencroft-Non-Idempotent", "yes").empty());
  BOOST_TEST(!faultOf("Cyclamencroft-Key", "k").empty());
  BOOST_TEST(!faultOf("Cyclamencroft-Request-Id", "12").empty());
  BOOST_TEST(!faultOf("Cyclamencroft-Need", "cores=2,disk=1").empty());
  BOOST_TEST(!faultOf("Cyclamencroft-Need", "cores").empty());
}

// Guards against wrong response statuses, and against job bodies that JSON
// would alter.
BOOST_AUTO_TEST_CASE(AnswersCarryOutcomeReasonAndEveryByte) {
  AnswerRequest Refused;
  Refused.m_Request = {1, 2};
  Refused.m_Outcome = Outcome::NotRun;
  Refused.m_Reason = RefusalReason::QuotaExceeded;
  const HttpResponse Response = toResponse(Refused);
  BOOST_TEST(Response.m_Status == 429U);
  BOOST_TEST(Response.header("Cyclamencroft-Outcome") == "not-run");
  BOOST_TEST(nlohmann::json::parse(Response.m_Body)["reason"] ==
             "quota-exceeded");
  Refused.m_Outcome = Outcome::Unknown;
  BOOST_TEST(toResponse(Refused).m_Status == 504U);

  AnswerJob Job;
  Job.m_Tasks = {{200, makePayload("\"quoted\"\n")},
                 {201, makePayload("\xff\x01")}};
  const auto Tasks = nlohmann::json::parse(toResponse(Job).m_Body)["tasks"];
  BOOST_TEST(Tasks[0]["body"] == "\"quoted\"\n");
  BOOST_TEST(Tasks[1]["status"] == 201);
  BOOST_TEST(Tasks[1]["body_base64"] == "/wE=");
}

// Guards against accepting incomplete or malformed addresses.
BOOST_AUTO_TEST_CASE(AddressesAreParsedCompletely) {
  BOOST_TEST(parseSocketAddress("127.0.0.1:80")->port() == 80U);
  BOOST_TEST(parseSocketAddress("[::1]:80")->port() == 80U);
  for (const char *Bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x",
                          "127.0.0.1:65536", "::1:80", "localhost:80"})
    BOOST_TEST(!parseSocketAddress(Bad), Bad);
}

// Guards against readers that access a destroyed configuration: every object
// read must still contain its mark, which the destructor clears.
BOOST_AUTO_TEST_CASE(ReadersNeverSeeADestroyedObject) {
  struct Marked {
    std::atomic<int> m_Mark{42};
    Marked() = default;
    ~Marked() { m_Mark = 0; }
  };
  RcuPointer<Marked> Shared;
  std::atomic<bool> Done{false};
  std::atomic<int> Faults{0};
  std::array<std::thread, 3> Readers;
  for (std::thread &Each : Readers)
    Each = std::thread([&] {
      const RcuReaderThread Reader;
      while (!Done)
        Faults += Shared.read([](const Marked *Seen) {
          return Seen != nullptr && Seen->m_Mark != 42 ? 1 : 0;
        });
    });
  for (int I = 0; I < 200; ++I)
    Shared.replace(std::make_unique<const Marked>());
  Done = true;
  for (std::thread &Reader : Readers)
    Reader.join();
  BOOST_TEST(Faults == 0);
}

BOOST_AUTO_TEST_SUITE_END()
