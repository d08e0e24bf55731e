// Tests the path of requests and jobs through separate processes, without
// faults.
#include "core/Ids.h"
#include "cyclamencroft/Client.h"
#include "process/support/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

using namespace cyclamencroft;
using namespace cyclamencroft::test;

namespace {

struct Span {
  std::string m_Name;
  std::string m_Parent;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestPath, ClusterCase)

// Guards against a request, its headers or its answer that is lost or altered
// on the way.
BOOST_AUTO_TEST_CASE(RequestsAndAJobOf200TasksAreAnsweredCompletely) {
  m_Cluster.startCluster(2, 3);
  const std::string Id = RequestId{7, 7}.toHex();
  const HttpResponse Check =
      Deployment::call(m_Cluster.m_Entries[0]->m_Http, "run-ms=20 ",
                       {{"Cyclamencroft-Request-Id", Id}});
  BOOST_TEST(Check.m_Status == 200U);
  BOOST_TEST(Check.header("Cyclamencroft-Outcome") == "completed");
  BOOST_TEST(Check.header("Cyclamencroft-Request-Id") == Id);
  BOOST_TEST(Check.m_Body.find("request=" + Id) != std::string::npos);

  const HttpResponse Permit = Deployment::call(
      m_Cluster.m_Entries[1]->m_Http, "run-ms=20 ",
      {{"Cyclamencroft-Non-Idempotent", "true"}, {"Cyclamencroft-Key", "k"}});
  BOOST_TEST(Permit.header("Cyclamencroft-Outcome") == "completed");

  const HttpResponse Job =
      Deployment::submit(m_Cluster.m_Entries[0]->m_Http,
                         std::vector<std::string>(200, "run-ms=10 "));
  BOOST_TEST(Job.m_Status == 200U);
  const auto Answer = nlohmann::json::parse(Job.m_Body);
  BOOST_TEST(Answer["outcome"] == "completed");
  BOOST_REQUIRE(Answer["tasks"].size() == 200U);
  for (std::size_t I = 0; I < 200; ++I) {
    const std::string Body = Answer["tasks"][I]["body"];
    BOOST_TEST(Body.find("task=" + std::to_string(I) + "\n") !=
               std::string::npos);
  }
  BOOST_TEST(m_Cluster.sumStarts("total") == 202U);
  BOOST_TEST(m_Cluster.sumStarts("repeated") == 0U);
}

// Guards against a process that writes no span for a request, and against spans
// whose parent is missing.
BOOST_AUTO_TEST_CASE(SpansOfOneRequestFormOneTree) {
  m_Cluster.startCluster(2, 3);
  const std::string TraceId = "0af7651916cd43dd8448eb211c80319c";
  const std::string CallerSpan = "b7ad6b7169203331";
  Deployment::call(
      m_Cluster.m_Entries[0]->m_Http, "run-ms=20 ",
      {{"traceparent", "00-" + TraceId + '-' + CallerSpan + "-01"}});
  // Span files are flushed when a process ends.
  m_Cluster.terminateAll();
  std::map<std::string, Span> Spans;
  for (const auto &Each : m_Cluster.readSpans())
    if (Each["traceId"] == TraceId)
      Spans[Each["spanId"]] = {Each["name"], Each.value("parentSpanId", "")};
  std::set<std::string> Names;
  std::size_t Roots = 0;
  for (const auto &[Id, Each] : Spans) {
    Names.insert(Each.m_Name);
    Roots += Each.m_Parent == CallerSpan;
    BOOST_TEST((Each.m_Parent == CallerSpan || Spans.count(Each.m_Parent)));
  }
  BOOST_TEST(Roots == 1U);
  BOOST_TEST(Names.count("entry") == 1U);
  BOOST_TEST(Names.count("dispatch") == 1U);
  BOOST_TEST(Spans.size() >= 3U);
}

// Guards against refusals without a status and outcome, and against malformed
// input that reaches an endpoint.
BOOST_AUTO_TEST_CASE(MalformedCallsGetOneClearError) {
  m_Cluster.startCluster(1, 1);
  const std::string Entry = m_Cluster.m_Entries[0]->m_Http;
  const auto Submit = [&](const std::string &Body) {
    return Deployment::post(Entry, "/v1/services/permit-desk/jobs", {}, Body);
  };
  for (const char *Body :
       {"{", "[]", "{\"tasks\": []}", "{\"tasks\": [1]}", "{\"tasks\": \"x\"}",
        "{\"tasks\": [\"a\"], \"b\": 1}"}) {
    const HttpResponse Response = Submit(Body);
    BOOST_TEST(Response.m_Status == 400U, Body << ": " << Response.m_Body);
    BOOST_TEST(Response.header("Cyclamencroft-Outcome") == "not-run");
  }
  const HttpResponse Unknown =
      Deployment::post(Entry, "/v1/services/no-such/requests", {}, "x");
  BOOST_TEST(Unknown.m_Status == 404U);
  BOOST_TEST(Unknown.m_Body.find("no-such") != std::string::npos);
  const HttpResponse TooLarge = Deployment::call(
      Entry, "run-ms=1 ", {{"Cyclamencroft-Need", "cores=4000"}});
  BOOST_TEST(TooLarge.m_Status == 422U);
  BOOST_TEST(m_Cluster.sumStarts("total") == 0U);
}

// Guards against a client that fails, or sends a request twice, because the
// first of its entries was killed.
BOOST_AUTO_TEST_CASE(ClientFailsOverFromAKilledEntry) {
  m_Cluster.startCluster(2, 1);
  const Client Entries(
      {m_Cluster.m_Entries[0]->m_Http, m_Cluster.m_Entries[1]->m_Http});
  m_Cluster.m_Entries[0]->m_Process->kill();
  ClientRequest Permit;
  Permit.m_Fields.m_Service = "permit-desk";
  Permit.m_NonIdempotent = true;
  const auto Answer = Entries.request(Permit);
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->m_Response.header("Cyclamencroft-Outcome") == "completed");
  BOOST_TEST(m_Cluster.sumStarts("total") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
