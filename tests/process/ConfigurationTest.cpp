// Configuration and presets over separate processes: races, outages, restarts.
#include "process/support/Deployment.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <future>

using namespace cyclamencroft;
using namespace cyclamencroft::test;

namespace {

constexpr std::chrono::milliseconds InForceLimit{7000};
constexpr int LostRace = 4;

std::uint64_t versionAt(const Node &Process) {
  return Deployment::getJson(Process.m_Http, "/v1/status")
      .value("config_version", 0ULL);
}

std::string presetAt(const Node &Process) {
  return Deployment::getJson(Process.m_Http, "/v1/status").value("preset", "");
}

void waitForPreset(Deployment &Cluster, const std::string &Preset) {
  const auto Holds = [&](const auto &Nodes) {
    for (const auto &Each : Nodes)
      if (presetAt(*Each) != Preset)
        return false;
    return true;
  };
  Deployment::waitUntil(
      [&] { return Holds(Cluster.m_Entries) && Holds(Cluster.m_Agents); },
      Preset + " is in effect at every entry and agent", InForceLimit);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationStream, ClusterCase)

// Guards against processes that miss a change or take longer than 7 s.
BOOST_AUTO_TEST_CASE(PresetIsInEffectEverywhereWithinSevenSeconds) {
  m_Cluster.startWhole(2, 3);
  for (const char *Preset : {"peak", "maintenance", "ordinary"}) {
    BOOST_REQUIRE(m_Cluster.runCli({"preset", "switch", Preset, "--log",
                                    m_Cluster.m_Log.m_Http}) == 0);
    waitForPreset(m_Cluster, Preset);
  }
  BOOST_TEST(versionAt(*m_Cluster.m_Entries[0]) == 4U);
}

// Guards against two racing changes that are both accepted, or that different
// processes judge differently.
BOOST_AUTO_TEST_CASE(OneOfTwoRacingOperatorsWins) {
  m_Cluster.startWhole(2, 1);
  const auto Switch = [&](const std::string &Preset) {
    return std::async(std::launch::async, [this, Preset] {
      ChildProcess Cli("cyclamencroft",
                       {"preset", "switch", Preset, "--base", "1", "--log",
                        m_Cluster.m_Log.m_Http},
                       m_Cluster.fileFor("race-" + Preset + ".out"));
      Cli.waitForExit(std::chrono::milliseconds(20000));
      return Cli.exitCode();
    });
  };
  auto Peak = Switch("peak");
  auto Maintenance = Switch("maintenance");
  const int PeakCode = Peak.get();
  const int MaintenanceCode = Maintenance.get();
  BOOST_TEST(PeakCode + MaintenanceCode == LostRace);
  BOOST_TEST((PeakCode == 0 || MaintenanceCode == 0));
  waitForPreset(m_Cluster, PeakCode == 0 ? "peak" : "maintenance");
  BOOST_TEST(versionAt(*m_Cluster.m_Entries[0]) == 2U);
}

// Guards against a change that is appended twice, or reported as lost, because
// the log's reply was lost.
BOOST_AUTO_TEST_CASE(LostReplyOfTheLogPublishesOnce) {
  m_Cluster.startWhole(1, 1);
  Deployment::postMode(m_Cluster.m_Log, R"({"lose_replies": 1})");
  BOOST_TEST(m_Cluster.runCli({"preset", "switch", "peak", "--log",
                               m_Cluster.m_Log.m_Http}) == 0);
  waitForPreset(m_Cluster, "peak");
  BOOST_TEST(versionAt(*m_Cluster.m_Entries[0]) == 2U);
}

// Guards against an entry that starts during an outage and serves an older
// configuration than its peers, or invents one.
BOOST_AUTO_TEST_CASE(EntryStartedWhileTheLogIsDownTakesThePeersVersion) {
  m_Cluster.startWhole(1, 1);
  BOOST_REQUIRE(m_Cluster.runCli({"preset", "switch", "peak", "--log",
                                  m_Cluster.m_Log.m_Http}) == 0);
  waitForPreset(m_Cluster, "peak");
  Deployment::postMode(m_Cluster.m_Log, R"({"down": "reset"})");
  m_Cluster.startEntry();
  waitForPreset(m_Cluster, "peak");
  BOOST_TEST(versionAt(*m_Cluster.m_Entries[1]) == 2U);
}

// Guards against an entry that takes requests without a configuration.
BOOST_AUTO_TEST_CASE(EntryWithoutLogAndPeersServesNothingAndSaysWhy) {
  m_Cluster.startLog();
  Deployment::postMode(m_Cluster.m_Log, R"({"down": "reset"})");
  m_Cluster.startEntry();
  const HttpResponse Response =
      Deployment::call(m_Cluster.m_Entries[0]->m_Http, "run-ms=10 ");
  BOOST_TEST(Response.m_Status == 503U);
  BOOST_TEST(Response.header("Cyclamencroft-Outcome") == "not-run");
  BOOST_TEST(Response.m_Body.find("no-configuration") != std::string::npos);
}

// Guards against a new entry that can't tell the state from a truncated log,
// or that judges a change without the version before it.
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
  waitForPreset(m_Cluster, "ordinary");
  BOOST_TEST(versionAt(*m_Cluster.m_Entries[0]) == 21U);
}

// Guards against an invalid document that replaces a valid one.
BOOST_AUTO_TEST_CASE(InvalidDocumentIsRefusedWithItsPlace) {
  m_Cluster.startWhole(1, 1);
  BOOST_TEST(
      m_Cluster.publish("preset = \"none\"\n[services.a]\nspeed = 1\n") == 2);
  BOOST_TEST(versionAt(*m_Cluster.m_Entries[0]) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
