// Tests the quota shares of several entries, with and without reports.
#include "entry/QuotaLedger.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr std::size_t Entries = 3;

Configuration teams(std::uint32_t Quota) {
  Configuration Config;
  Config.m_Teams["billing"].m_StartsPerSecond = Quota;
  Config.m_Teams["free"].m_StartsPerSecond = 0;
  return Config;
}

/// Three entries that report to each other once a second.
struct Deployment {
  std::array<QuotaLedger, Entries> m_Ledgers{
      QuotaLedger(Entries), QuotaLedger(Entries), QuotaLedger(Entries)};
  std::array<std::uint32_t, Entries> m_Granted{};
  TimePoint m_Now = Start;
  /// Entries with this number or a higher one are partitioned from the others.
  std::size_t m_PartitionFrom = Entries;

  explicit Deployment(std::uint32_t Quota) {
    for (QuotaLedger &Ledger : m_Ledgers)
      Ledger.configure(teams(Quota));
  }

  void exchangeReports() {
    for (std::size_t From = 0; From < Entries; ++From) {
      const QuotaReport Report = m_Ledgers[From].makeReport(m_Now);
      for (std::size_t To = 0; To < Entries; ++To) {
        const bool Partitioned =
            (From >= m_PartitionFrom) != (To >= m_PartitionFrom);
        if (From != To && !Partitioned)
          m_Ledgers[To].reportReceived(LinkId{From}, Report, m_Now);
      }
    }
  }

  /// Runs for \p Seconds with \p Demand starts a second at each entry.
  void run(int Seconds, std::array<int, Entries> Demand) {
    for (int Step = 0; Step < Seconds * 1000; ++Step) {
      m_Now += 1ms;
      for (std::size_t I = 0; I < Entries; ++I)
        if (Step * Demand[I] / 1000 != (Step + 1) * Demand[I] / 1000)
          m_Granted[I] += m_Ledgers[I].tryTake("billing", 1, m_Now) ? 1 : 0;
      if (Step % 1000 == 999)
        exchangeReports();
    }
  }

  std::uint32_t sum() const {
    return m_Granted[0] + m_Granted[1] + m_Granted[2];
  }
  void resetGranted() { m_Granted = {}; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Quotas)

// Guards against a quota that is multiplied by the number of entries.
BOOST_AUTO_TEST_CASE(SumOverEntriesStaysAtTheQuota) {
  Deployment D(300);
  D.run(5, {500, 500, 500});
  D.resetGranted();
  D.run(10, {500, 500, 500});
  BOOST_TEST(D.sum() <= 3010u);
  BOOST_TEST(D.sum() >= 2900u);
}

// Guards against a team that gets a third of its quota because its callers use
// one entry only.
BOOST_AUTO_TEST_CASE(UnevenDemandMovesHalfOfTheQuota) {
  Deployment D(300);
  D.run(5, {500, 0, 0});
  D.resetGranted();
  D.run(10, {500, 0, 0});
  BOOST_TEST(D.m_Granted[0] >= 1950u);
  BOOST_TEST(D.m_Granted[0] <= 2050u);
}

// Guards against both sides of a partition granting the half of the quota that
// is split by demand.
BOOST_AUTO_TEST_CASE(PartitionFallsBackToTheEvenShare) {
  Deployment D(300);
  D.run(5, {500, 20, 20});
  D.m_PartitionFrom = 1;
  D.run(4, {500, 500, 500});
  D.resetGranted();
  D.run(10, {500, 500, 500});
  BOOST_TEST(D.sum() <= 3020u);
  BOOST_TEST(D.m_Granted[0] <= 1010u);
}

// Guards against a peer's report that still counts after its link is lost.
BOOST_AUTO_TEST_CASE(LostPeerEndsSharingByDemand) {
  QuotaLedger Ledger(2);
  Ledger.configure(teams(100));
  std::uint32_t Granted = 0;
  TimePoint Now = Start;
  for (int Step = 0; Step < 4000; ++Step) {
    Now += 1ms;
    Granted += Ledger.tryTake("billing", 1, Now) && Step >= 2000 ? 1 : 0;
    if (Step == 999) {
      Ledger.makeReport(Now);
      Ledger.reportReceived(LinkId{1}, {}, Now);
      Ledger.peerLost(LinkId{1});
    }
  }
  BOOST_TEST(Granted >= 99u);
  BOOST_TEST(Granted <= 101u);
}

// Guards against a job larger than the bucket that can never start, and against
// such jobs exceeding the quota.
BOOST_AUTO_TEST_CASE(LargeJobsStartWithinTheQuota) {
  QuotaLedger Ledger(1);
  Ledger.configure(teams(50));
  std::uint32_t Granted = 0;
  TimePoint Now = Start;
  for (int Step = 0; Step < 40000; ++Step) {
    Now += 1ms;
    Granted += Ledger.tryTake("billing", 200, Now) ? 200 : 0;
  }
  BOOST_TEST(Granted >= 1800u);
  BOOST_TEST(Granted <= 2200u);
}

// Guards against teams without a limit being limited, and against reports that
// list every team each second.
BOOST_AUTO_TEST_CASE(OnlyLimitedTeamsWithDemandAreReported) {
  QuotaLedger Ledger(3);
  Configuration Config = teams(100);
  for (int I = 0; I < 590; ++I)
    Config.m_Teams["team" + std::to_string(I)].m_StartsPerSecond = 10;
  Ledger.configure(Config);
  for (int I = 0; I < 1000; ++I)
    BOOST_TEST(Ledger.tryTake("free", 10, Start));
  // Above the evenly split half of 100 starts over three entries.
  BOOST_TEST(Ledger.tryTake("billing", 50, Start));
  const QuotaReport Report = Ledger.makeReport(Start);
  BOOST_TEST(Report.m_Demands.size() == 1u);
  BOOST_TEST(Report.m_Demands.at(0).m_Team == "billing");
}

// Guards against a report of unknown teams that adds teams to the ledger or
// shifts the indices of known ones.
BOOST_AUTO_TEST_CASE(UnknownTeamsInReportsAreIgnored) {
  QuotaLedger Ledger(2);
  Ledger.configure(teams(100));
  QuotaReport Report;
  for (int I = 0; I < 1000; ++I)
    Report.m_Demands.push_back({"ghost" + std::to_string(I), 7});
  Ledger.reportReceived(LinkId{1}, Report, Start);
  BOOST_TEST(Ledger.tryTake("billing", 60, Start));
  BOOST_TEST(Ledger.makeReport(Start).m_Demands.size() == 1u);
}

// Guards against reports that grow with the number of active teams: 590 teams
// took 7 KB a second for each peer.
BOOST_AUTO_TEST_CASE(DemandWithinTheEvenHalfIsNotReported) {
  QuotaLedger Ledger(Entries);
  Ledger.configure(teams(60));
  Ledger.makeReport(Start);
  for (int I = 0; I < 10; ++I)
    Ledger.tryTake("billing", 1, Start);
  BOOST_TEST(Ledger.makeReport(Start + 1s).m_Demands.empty());
  for (int I = 0; I < 11; ++I)
    Ledger.tryTake("billing", 1, Start + 1s);
  BOOST_TEST(Ledger.makeReport(Start + 2s).m_Demands.size() == 1U);
}

// Guards against a small demand that is refused because another entry's large
// one takes the whole quota.
BOOST_AUTO_TEST_CASE(UnreportedDemandIsStillGranted) {
  Deployment Cluster(60);
  Cluster.run(2, {8, 100, 0});
  Cluster.m_Granted = {};
  Cluster.run(10, {8, 100, 0});
  BOOST_TEST(Cluster.m_Granted[0] >= 78U);
  BOOST_TEST(Cluster.sum() <= 600U);
}

BOOST_AUTO_TEST_SUITE_END()
