// Tests the shutdown of entries, agents and endpoints, and the draining of a
// failure domain.
#include "process/support/BackgroundLoad.h"
#include "process/support/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>

using namespace cyclamencroft;
using namespace cyclamencroft::test;

namespace {

constexpr std::chrono::milliseconds DrainTimeout{15000};

std::string outcomeOf(const HttpResponse &Response) {
  return std::string(Response.header("Cyclamencroft-Outcome"));
}

/// Requests of several seconds, sent at the same time.
class PendingRequests {
public:
  PendingRequests(const std::string &Entry, std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Calls.push_back(std::async(std::launch::async, [Entry] {
        return Deployment::call(Entry, "run-ms=3000 ",
                                {{"Cyclamencroft-Non-Idempotent", "true"}});
      }));
  }

  std::size_t completed() {
    std::size_t Count = 0;
    for (auto &Call : m_Calls)
      Count += outcomeOf(Call.get()) == "completed";
    return Count;
  }

private:
  std::vector<std::future<HttpResponse>> m_Calls;
};

void waitForStarts(Deployment &Cluster, std::uint64_t Count) {
  Deployment::waitUntil([&] { return Cluster.sumStarts("total") >= Count; },
                        "tasks run", DrainTimeout);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Shutdown, ClusterCase)

// Guards against an entry that exits before it has answered its callers.
BOOST_AUTO_TEST_CASE(EntryFinishesRequestsInFlight) {
  m_Cluster.startCluster(2, 2);
  PendingRequests Calls(m_Cluster.m_Entries[0]->m_Http, 8);
  waitForStarts(m_Cluster, 8);
  m_Cluster.m_Entries[0]->m_Process->sendSignal(SIGTERM);
  BOOST_TEST(Calls.completed() == 8U);
  BOOST_REQUIRE(m_Cluster.m_Entries[0]->m_Process->waitForExit(DrainTimeout));
  BOOST_TEST(m_Cluster.m_Entries[0]->m_Process->exitCode() == 0);
  const HttpResponse Other =
      Deployment::call(m_Cluster.m_Entries[1]->m_Http, "run-ms=10 ");
  BOOST_TEST(outcomeOf(Other) == "completed");
}

// Guards against an agent that aborts running tasks, or does not return the
// tasks that it has not started.
BOOST_AUTO_TEST_CASE(AgentFinishesRunningTasksAndAcceptsNoNewOnes) {
  m_Cluster.startCluster(2, 2);
  PendingRequests Calls(m_Cluster.m_Entries[0]->m_Http, 8);
  waitForStarts(m_Cluster, 8);
  m_Cluster.m_Agents[0]->m_Process->sendSignal(SIGTERM);
  BackgroundLoad::Options Options;
  Options.m_Entries = {m_Cluster.m_Entries[0]->m_Http,
                       m_Cluster.m_Entries[1]->m_Http};
  BackgroundLoad Load(Options);
  Load.waitForCalls(50);
  BOOST_TEST(Calls.completed() == 8U);
  BOOST_REQUIRE(m_Cluster.m_Agents[0]->m_Process->waitForExit(DrainTimeout));
  BOOST_TEST(m_Cluster.m_Agents[0]->m_Process->exitCode() == 0);
  const LoadResult Result = Load.stop();
  BOOST_TEST(Result.count("completed") == Result.total());
}

// Guards against new tasks at an endpoint that has announced its shutdown.
BOOST_AUTO_TEST_CASE(DrainingEndpointReceivesNoNewWork) {
  m_Cluster.startCluster(2, 2);
  BackgroundLoad::Options Options;
  Options.m_Entries = {m_Cluster.m_Entries[0]->m_Http,
                       m_Cluster.m_Entries[1]->m_Http};
  BackgroundLoad Load(Options);
  Load.waitForCalls(50);
  Deployment::postMode(*m_Cluster.m_Endpoints[0], R"({"mode": "leave"})");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const auto Before =
      Deployment::getJson(m_Cluster.m_Endpoints[0]->m_Http, "/starts");
  Load.waitForCalls(300);
  const LoadResult Result = Load.stop();
  const auto After =
      Deployment::getJson(m_Cluster.m_Endpoints[0]->m_Http, "/starts");
  BOOST_TEST(Before["total"].get<int>() > 0);
  BOOST_TEST(Before["total"] == After["total"]);
  BOOST_TEST(Result.count("completed") == Result.total());
}

// Guards against a maintenance preset that aborts requests in flight or sends
// new tasks to the drained failure domain.
BOOST_AUTO_TEST_CASE(MaintenancePresetDrainsAFailureDomain) {
  m_Cluster.startLog();
  m_Cluster.startEntry();
  m_Cluster.startEndpoint(m_Cluster.startAgent({}, "quimper-a"));
  m_Cluster.startEndpoint(m_Cluster.startAgent({}, "quimper-b"));
  BOOST_REQUIRE(m_Cluster.publish(Deployment::TestConfiguration) == 0);
  m_Cluster.waitForAgents(2);
  const std::string Entry = m_Cluster.m_Entries[0]->m_Http;
  PendingRequests Calls(Entry, 12);
  waitForStarts(m_Cluster, 12);
  BOOST_REQUIRE(m_Cluster.runCli({"preset", "switch", "maintenance", "--log",
                                  m_Cluster.m_Log.m_Http}) == 0);
  Deployment::waitUntil(
      [&] {
        return Deployment::getJson(Entry, "/v1/status").value("preset", "") ==
               "maintenance";
      },
      "the preset is in effect", std::chrono::milliseconds(7000));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto Before =
      Deployment::getJson(m_Cluster.m_Endpoints[1]->m_Http, "/starts");
  BackgroundLoad Load({{Entry}, 4, "run-ms=20 ", true});
  Load.waitForCalls(100);
  const LoadResult Result = Load.stop();
  BOOST_TEST(Calls.completed() == 12U);
  BOOST_TEST(Result.count("completed") == Result.total());
  BOOST_TEST(Before["total"] ==
             Deployment::getJson(m_Cluster.m_Endpoints[1]->m_Http,
                                 "/starts")["total"]);
}

// Guards against a process that does not exit on a second signal, or that
// aborts requests without logging it.
BOOST_AUTO_TEST_CASE(SecondSignalEndsAtOnceAndLogsTheInterruption) {
  m_Cluster.startCluster(1, 1);
  const std::string Entry = m_Cluster.m_Entries[0]->m_Http;
  auto Call = std::async(std::launch::async, [Entry] {
    try {
      return outcomeOf(Deployment::call(Entry, "run-ms=8000 "));
    } catch (const std::runtime_error &) {
      return std::string("no-answer");
    }
  });
  waitForStarts(m_Cluster, 1);
  ChildProcess &Process = *m_Cluster.m_Entries[0]->m_Process;
  Process.sendSignal(SIGTERM);
  BOOST_TEST(!Process.waitForExit(std::chrono::milliseconds(300)));
  Process.sendSignal(SIGTERM);
  BOOST_REQUIRE(Process.waitForExit(std::chrono::milliseconds(2000)));
  BOOST_TEST(Process.exitCode() != 0);
  BOOST_TEST(Call.get() == "no-answer");
  Process.waitForEvent("shutdown-interrupted", std::chrono::milliseconds(100));
}

BOOST_AUTO_TEST_SUITE_END()
