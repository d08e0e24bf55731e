// Kills and suspends processes and interrupts connections under load. The start
// counts of the endpoint stand-ins show whether a task was started twice.
#include "core/Ids.h"
#include "process/support/BackgroundLoad.h"
#include "process/support/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>

using namespace cyclamencroft;
using namespace cyclamencroft::test;

namespace {

BackgroundLoad::Options loadOptionsFor(const Deployment &Cluster) {
  BackgroundLoad::Options Options;
  for (const auto &Entry : Cluster.m_Entries)
    Options.m_Entries.push_back(Entry->m_Http);
  return Options;
}

/// Checks the invariants that hold after any fault: no task was started twice,
/// no request that was answered `not-run` was started, and no answer was sent
/// to another request.
void checkAtMostOnce(Deployment &Cluster, const LoadResult &Result) {
  const auto Starts = Cluster.startsByTask();
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1U, Task << " started " << Count << " times");
  for (const std::string &Id : Result.m_NotRun)
    BOOST_TEST(Starts.count(Id + "/0") == 0U,
               Id << " was answered not-run but was started");
  BOOST_TEST(Result.m_WrongAnswers == 0U);
}

std::string outcomeOf(const HttpResponse &Response) {
  return std::string(Response.header("Cyclamencroft-Outcome"));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Failures, ClusterCase)

// Guards against tasks that are sent to another agent although the killed agent
// may have started them.
BOOST_AUTO_TEST_CASE(KilledAgentsStartNoTaskTwice) {
  m_Cluster.startCluster(2, 3);
  BackgroundLoad Load(loadOptionsFor(m_Cluster));
  Load.waitForCalls(50);
  m_Cluster.m_Agents[0]->m_Process->kill();
  Load.waitForCalls(200);
  m_Cluster.m_Agents[1]->m_Process->kill();
  Load.waitForCalls(400);
  const LoadResult Result = Load.stop();
  checkAtMostOnce(m_Cluster, Result);
  BOOST_TEST(Result.count("completed") > 300U);
}

// Guards against an agent that was suspended with SIGSTOP and starts outdated
// tasks after SIGCONT.
BOOST_AUTO_TEST_CASE(SuspendedAgentStartsNothingTwiceAfterItResumes) {
  m_Cluster.startCluster(2, 3);
  BackgroundLoad Load(loadOptionsFor(m_Cluster));
  Load.waitForCalls(50);
  m_Cluster.m_Agents[0]->m_Process->sendSignal(SIGSTOP);
  Load.waitForCalls(300);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  m_Cluster.m_Agents[0]->m_Process->sendSignal(SIGCONT);
  Load.waitForCalls(600);
  const LoadResult Result = Load.stop();
  checkAtMostOnce(m_Cluster, Result);
  BOOST_TEST(Result.count("completed") > 400U);
}

// Guards against an entry that resumes after a suspension and starts its
// earlier tasks again, or sends an answer to the wrong caller.
BOOST_AUTO_TEST_CASE(SuspendedEntryAnswersEachCallerOnce) {
  m_Cluster.startCluster(2, 3);
  BackgroundLoad Load(loadOptionsFor(m_Cluster));
  Load.waitForCalls(50);
  m_Cluster.m_Entries[0]->m_Process->sendSignal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  m_Cluster.m_Entries[0]->m_Process->sendSignal(SIGCONT);
  Load.waitForCalls(400);
  checkAtMostOnce(m_Cluster, Load.stop());
}

// Guards against a restarted entry whose sequence numbers, which begin again,
// are mistaken for repeated ones, and against tasks of the killed entry that
// start late.
BOOST_AUTO_TEST_CASE(EntryRestartedAtTheSameAddressServesAtOnce) {
  m_Cluster.startCluster(2, 3);
  BackgroundLoad Load(loadOptionsFor(m_Cluster));
  Load.waitForCalls(50);
  const std::string Http = m_Cluster.m_Entries[1]->m_Http;
  const std::string Link = m_Cluster.m_Entries[1]->m_Link;
  m_Cluster.m_Entries[1]->m_Process->kill();
  m_Cluster.m_Entries.pop_back();
  m_Cluster.startEntry(Http, Link);
  m_Cluster.waitForAgents(3);
  const HttpResponse After = Deployment::call(Http, "run-ms=10 ");
  BOOST_TEST(outcomeOf(After) == "completed");
  Load.waitForCalls(300);
  checkAtMostOnce(m_Cluster, Load.stop());
}

// Guards against jobs that fail, or tasks that run twice, because a link was
// reset while they ran.
BOOST_AUTO_TEST_CASE(JobCompletesAfterAConnectionResetBetweenEntryAndAgent) {
  m_Cluster.startLog();
  Node &Entry = m_Cluster.startEntry();
  Node &Relay = m_Cluster.startRelay(Entry.m_Link);
  m_Cluster.startEndpoint(m_Cluster.startAgent({Relay.m_Link}));
  BOOST_REQUIRE(m_Cluster.publish(Deployment::TestConfiguration) == 0);
  m_Cluster.waitForAgents(1);
  auto Job = std::async(std::launch::async, [&] {
    return Deployment::submit(Entry.m_Http,
                              std::vector<std::string>(24, "run-ms=400 "));
  });
  Deployment::waitUntil([&] { return m_Cluster.sumStarts("total") >= 8; },
                        "tasks run", std::chrono::milliseconds(10000));
  Deployment::postMode(Relay, R"({"mode": "reset"})");
  Deployment::postMode(Relay, R"({"mode": "pass"})");
  const HttpResponse Answer = Job.get();
  BOOST_TEST(outcomeOf(Answer) == "completed", Answer.m_Body);
  BOOST_TEST(m_Cluster.sumStarts("total") == 24U);
}

// Guards against a job answered with part of its results, and against tasks
// that are sent to another agent during a long partition although they may have
// run.
BOOST_AUTO_TEST_CASE(
    JobFailsWithoutPartialResultsWhenItsAgentStaysPartitioned) {
  m_Cluster.startLog();
  Node &Entry = m_Cluster.startEntry();
  Node &Relay = m_Cluster.startRelay(Entry.m_Link);
  m_Cluster.startEndpoint(m_Cluster.startAgent({Relay.m_Link}));
  m_Cluster.startEndpoint(m_Cluster.startAgent());
  BOOST_REQUIRE(m_Cluster.publish(Deployment::TestConfiguration) == 0);
  m_Cluster.waitForAgents(2);
  auto Job = std::async(std::launch::async, [&] {
    return Deployment::submit(Entry.m_Http,
                              std::vector<std::string>(40, "run-ms=500 "));
  });
  Deployment::waitUntil([&] { return m_Cluster.sumStarts("total") >= 16; },
                        "tasks run", std::chrono::milliseconds(10000));
  Deployment::postMode(Relay, R"({"mode": "cut"})");
  const HttpResponse Answer = Job.get();
  BOOST_TEST(outcomeOf(Answer) != "completed");
  BOOST_TEST(nlohmann::json::parse(Answer.m_Body)
                 .value("tasks", nlohmann::json::array())
                 .empty());
  for (const auto &[Task, Count] : m_Cluster.startsByTask())
    BOOST_TEST(Count == 1U, Task << " started " << Count << " times");
}

// Guards against truncated or late answers of an endpoint that a caller
// receives as complete ones, or as the answer to the next request on the
// connection.
BOOST_AUTO_TEST_CASE(TruncatedAndLateAnswersNeverReachACaller) {
  m_Cluster.startCluster(1, 1);
  const std::string Entry = m_Cluster.m_Entries[0]->m_Http;
  Deployment::postMode(*m_Cluster.m_Endpoints[0], R"({"mode": "truncate"})");
  const HttpResponse Cut = Deployment::call(
      Entry, "run-ms=10 ", {{"Cyclamencroft-Non-Idempotent", "true"}});
  BOOST_TEST(outcomeOf(Cut) != "completed");
  Deployment::postMode(*m_Cluster.m_Endpoints[0],
                       R"({"mode": "late", "late_ms": 1500})");
  const HttpResponse Late =
      Deployment::call(Entry, "run-ms=10 ",
                       {{"Cyclamencroft-Non-Idempotent", "true"},
                        {"Cyclamencroft-Deadline-Ms", "500"}});
  BOOST_TEST(outcomeOf(Late) == "unknown");
  Deployment::postMode(*m_Cluster.m_Endpoints[0], R"({"mode": "normal"})");
  for (std::uint64_t I = 1; I <= 20; ++I) {
    const std::string Id = RequestId{9, I}.toHex();
    const HttpResponse Next = Deployment::call(
        Entry, "run-ms=100 ", {{"Cyclamencroft-Request-Id", Id}});
    BOOST_TEST(Next.m_Body.find("request=" + Id) != std::string::npos);
  }
}

// Guards against two entries that together run more tasks at an endpoint than
// it has slots.
BOOST_AUTO_TEST_CASE(TwoEntriesTogetherNeverExceedTheSlots) {
  m_Cluster.startCluster(2, 1, {"--slots", "4"});
  BackgroundLoad::Options Options = loadOptionsFor(m_Cluster);
  Options.m_Callers = 24;
  BackgroundLoad Load(Options);
  Load.waitForCalls(200);
  const LoadResult Result = Load.stop();
  const auto Starts =
      Deployment::getJson(m_Cluster.m_Endpoints[0]->m_Http, "/starts");
  BOOST_TEST(Starts.value("peak_running", 99U) <= 4U);
  checkAtMostOnce(m_Cluster, Result);
}

// Guards against requests that fail while the platform's log is unavailable.
BOOST_AUTO_TEST_CASE(RequestsAreServedWhileTheLogIsDown) {
  m_Cluster.startCluster(2, 2);
  Deployment::postMode(m_Cluster.m_Log, R"({"down": "reset"})");
  BackgroundLoad Load(loadOptionsFor(m_Cluster));
  Load.waitForCalls(200);
  const LoadResult Result = Load.stop();
  BOOST_TEST(Result.count("completed") == Result.total());
}

BOOST_AUTO_TEST_SUITE_END()
