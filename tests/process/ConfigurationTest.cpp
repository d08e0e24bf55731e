// Tests configuration changes and presets with daemons as separate processes:
// racing changes, log outages and restarts.
#include "process/support/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace cyclamencroft;
using namespace cyclamencroft::test;

namespace {

constexpr std::chrono::milliseconds PropagationTimeout{7000};
/// Exit code of the command line when another change was appended first.
constexpr int LostRaceExitCode = 4;

std::uint64_t configVersionAt(const Node &Process) {
  return Deployment::getJson(Process.m_Http, "/v1/status")
      .value("config_version", 0ULL);
}

std::string activePresetAt(const Node &Process) {
  return Deployment::getJson(Process.m_Http, "/v1/status").value("preset", "");
}

void waitUntilPresetIsInEffect(Deployment &Cluster, const std::string &Preset) {
  const auto Holds = [&](const auto &Nodes) {
    for (const auto &Each : Nodes)
      if (activePresetAt(*Each) != Preset)
        return false;
    return true;
  };
  Deployment::waitUntil(
      [&] { return Holds(Cluster.m_Entries) && Holds(Cluster.m_Agents); },
      Preset + " is in effect at every entry and agent", PropagationTimeout);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationStream, ClusterCase)

// Guards against processes that miss a change or take longer than 7 s.
BOOST_AUTO_TEST_CASE(PresetIsInEffectEverywhereWithinSevenSeconds) {
  m_Cluster.startCluster(2, 3);
  for (const char *Preset : {"peak", "maintenance", "ordinary"}) {
    BOOST_REQUIRE(m_Cluster.runCli({"preset", "switch", Preset, "--log",
                                    m_Cluster.m_Log.m_Http}) == 0);
    waitUntilPresetIsInEffect(m_Cluster, Preset);
  }
  BOOST_TEST(configVersionAt(*m_Cluster.m_Entries[0]) == 4U);
}

// Guards against two concurrent changes that are both accepted, or of which
// different processes accept different ones.
BOOST_AUTO_TEST_CASE(OneOfTwoRacingOperatorsWins) {
  m_Cluster.startCluster(2, 1);
  const auto Switch = [&](const std::string &Preset) {
    return std::async(std::launch::async, [this, Preset] {
      ChildProcess Cli("cyclamencroft",
                       {"preset", "switch", Preset, "--base", "1", "--log",
                        m_Cluster.m_Log.m_Http},
                       m_Cluster.pathOf("race-" + Preset + ".out"));
      Cli.waitForExit(std::chrono::milliseconds(20000));
      return Cli.exitCode();
    });
  };
  auto Peak = Switch("peak");
  auto Maintenance = Switch("maintenance");
  const int PeakCode = Peak.get();
  const int MaintenanceCode = Maintenance.get();
  BOOST_TEST(PeakCode + MaintenanceCode == LostRaceExitCode);
  BOOST_TEST((PeakCode == 0 || MaintenanceCode == 0));
  waitUntilPresetIsInEffect(m_Cluster, PeakCode == 0 ? "peak" : "maintenance");
  BOOST_TEST(configVersionAt(*m_Cluster.m_Entries[0]) == 2U);
}

// Guards against a change that is appended twice, or reported as lost, because
// the log's reply was lost.
BOOST_AUTO_TEST_CASE(ChangeIsAppendedOnceWhenTheReplyOfTheLogIsLost) {
  m_Cluster.startCluster(1, 1);
  Deployment::postMode(m_Cluster.m_Log, R"({"lose_replies": 1})");
  BOOST_TEST(m_Cluster.runCli({"preset", "switch", "peak", "--log",
                               m_Cluster.m_Log.m_Http}) == 0);
  waitUntilPresetIsInEffect(m_Cluster, "peak");
  BOOST_TEST(configVersionAt(*m_Cluster.m_Entries[0]) == 2U);
}

// Guards against an entry that starts during an outage and serves an older
// configuration than its peers, or one that was never published.
BOOST_AUTO_TEST_CASE(EntryStartedWhileTheLogIsDownUsesTheVersionOfItsPeer) {
  m_Cluster.startCluster(1, 1);
  BOOST_REQUIRE(m_Cluster.runCli({"preset", "switch", "peak", "--log",
                                  m_Cluster.m_Log.m_Http}) == 0);
  waitUntilPresetIsInEffect(m_Cluster, "peak");
  Deployment::postMode(m_Cluster.m_Log, R"({"down": "reset"})");
  m_Cluster.startEntry();
  waitUntilPresetIsInEffect(m_Cluster, "peak");
  BOOST_TEST(configVersionAt(*m_Cluster.m_Entries[1]) == 2U);
}

// Guards against an entry that accepts requests without a configuration.
BOOST_AUTO_TEST_CASE(EntryWithoutConfigurationRefusesRequestsWithAReason) {
  m_Cluster.startLog();
  Deployment::postMode(m_Cluster.m_Log, R"({"down": "reset"})");
  m_Cluster.startEntry();
  const HttpResponse Response =
      Deployment::call(m_Cluster.m_Entries[0]->m_Http, "run-ms=10 ");
  BOOST_TEST(Response.m_Status == 503U);
  BOOST_TEST(Response.header("Cyclamencroft-Outcome") == "not-run");
  BOOST_TEST(Response.m_Body.find("no-configuration") != std::string::npos);
}

// Guards against a new entry that can't restore the configuration from a
// truncated log, or that validates a change without knowing its base version.
BOOST_AUTO_TEST_CASE(NewEntryReadsATruncatedLog) {
  m_Cluster.startLog({"--retention", "12"});
  m_Cluster.startEntry();
  BOOST_REQUIRE(m_Cluster.publish(Deployment::TestConfiguration) == 0);
  for (int I = 0; I < 10; ++I)
    for (const char *Preset : {"peak", "ordinary"}) {
      std::string Output;
      const int Code = m_Cluster.runCli(
          {"preset", "switch", Preset, "--log", m_Cluster.m_Log.m_Http},
          &Output);
      BOOST_REQUIRE_MESSAGE(Code == 0, Output);
    }
  m_Cluster.m_Entries[0]->m_Process->kill();
  m_Cluster.m_Entries.clear();
  m_Cluster.startEntry();
  waitUntilPresetIsInEffect(m_Cluster, "ordinary");
  BOOST_TEST(configVersionAt(*m_Cluster.m_Entries[0]) == 21U);
}

// Guards against an invalid document that replaces a valid one.
BOOST_AUTO_TEST_CASE(InvalidDocumentIsRefused) {
  m_Cluster.startCluster(1, 1);
  BOOST_TEST(
      m_Cluster.publish("preset = \"none\"\n[services.a]\nspeed = 1\n") == 2);
  BOOST_TEST(configVersionAt(*m_Cluster.m_Entries[0]) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
