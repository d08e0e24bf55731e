// Computes this entry's share of each quota from the reported demands.
#include "entry/QuotaLedger.h"

#include "entry/TeamBucket.h"

#include <algorithm>
#include <map>
#include <string>

namespace cyclamencroft {
namespace {

// Entries report once a second. A peer without a report for this long may have
// fallen back to its even share, so this entry does the same.
constexpr Duration ReportTimeout = std::chrono::seconds(3);

struct TeamRow {
  /// Task starts a second over all entries; 0 for no limit.
  std::uint32_t m_Quota = 0;
  /// Index into a peer's demands.
  std::size_t m_Index = 0;
  /// Starts requested since the last report, granted or not.
  std::uint64_t m_Requested = 0;
  /// Starts a second in the last report; peers compute their shares from the
  /// same number.
  std::uint32_t m_OwnDemand = 0;
  /// Value of QuotaLedger::Impl::m_Epoch when the rate was set.
  std::uint64_t m_Epoch = 0;
  TeamBucket m_Bucket;
};

struct PeerReport {
  TimePoint m_ReceivedAt{};
  /// Starts a second for each configured team, indexed by TeamRow::m_Index.
  std::vector<std::uint32_t> m_Demands;
};

} // namespace

class QuotaLedger::Impl {
public:
  explicit Impl(std::uint32_t Entries)
      : m_Entries(std::max<std::uint32_t>(Entries, 1)) {}

  void configure(const Configuration &Config);
  bool tryTake(std::string_view Team, std::uint32_t Tasks, TimePoint Now);
  void reportReceived(LinkId Peer, const QuotaReport &Report, TimePoint Now);
  void peerLost(LinkId Peer);
  QuotaReport makeReport(TimePoint Now);

private:
  bool hasAllReports(TimePoint Now) const;
  double rateOf(const TeamRow &Team) const;
  std::uint32_t sharedDemand(std::uint32_t Quota, double Requested) const;

  std::uint32_t m_Entries;
  /// Incremented whenever a rate may change; a team's rate is then set on its
  /// next use.
  std::uint64_t m_Epoch = 1;
  /// True while half of each quota is split by demand.
  bool m_ByDemand = false;
  TimePoint m_ReportedAt{};
  std::map<std::string, TeamRow, std::less<>> m_Teams;
  std::map<LinkId, PeerReport> m_Peers;
};

void QuotaLedger::Impl::configure(const Configuration &Config) {
  std::map<std::string, TeamRow, std::less<>> Teams;
  for (const auto &[Name, Team] : Config.m_Teams) {
    const auto Old = m_Teams.find(Name);
    TeamRow Row = Old == m_Teams.end() ? TeamRow() : Old->second;
    Row.m_Quota = Team.m_StartsPerSecond;
    Row.m_Index = Teams.size();
    Teams.emplace(Name, Row);
  }
  m_Teams.swap(Teams);
  // The indices of the old reports no longer match; new reports arrive within
  // a second.
  m_Peers.clear();
  ++m_Epoch;
}

bool QuotaLedger::Impl::tryTake(std::string_view Team, std::uint32_t Tasks,
                                TimePoint Now) {
  const auto Found = m_Teams.find(Team);
  if (Found == m_Teams.end() || Found->second.m_Quota == 0)
    return true;
  const bool ByDemand = hasAllReports(Now);
  if (ByDemand != m_ByDemand)
    ++m_Epoch;
  m_ByDemand = ByDemand;
  TeamRow &Row = Found->second;
  Row.m_Requested += Tasks;
  if (Row.m_Epoch != m_Epoch)
    Row.m_Bucket.setRate(rateOf(Row), Now);
  Row.m_Epoch = m_Epoch;
  return Row.m_Bucket.tryTake(Tasks, Now);
}

bool QuotaLedger::Impl::hasAllReports(TimePoint Now) const {
  std::uint32_t Fresh = 1;
  for (const auto &[Link, Peer] : m_Peers)
    Fresh += Now - Peer.m_ReceivedAt < ReportTimeout ? 1 : 0;
  return Fresh >= m_Entries;
}

double QuotaLedger::Impl::rateOf(const TeamRow &Team) const {
  const double Even = static_cast<double>(Team.m_Quota) / m_Entries;
  if (!m_ByDemand)
    return Even;
  double Total = Team.m_OwnDemand;
  for (const auto &[Link, Peer] : m_Peers)
    Total += Peer.m_Demands[Team.m_Index];
  if (Total <= 0)
    return Even;
  return Even / 2 + Team.m_Quota / 2.0 * Team.m_OwnDemand / Total;
}

/// Demand, in starts a second, that counts when the second half of a quota is
/// split. A demand that the evenly split half covers counts as zero: it needs
/// no more, and reporting it took 7 KB a second for each peer at 590 active
/// teams.
std::uint32_t QuotaLedger::Impl::sharedDemand(std::uint32_t Quota,
                                              double Requested) const {
  const double Covered = Quota / 2.0 / m_Entries;
  if (Requested <= Covered)
    return 0;
  // The demand is limited to the quota: a higher one must not count for more.
  constexpr double RoundUp = 0.999;
  return static_cast<std::uint32_t>(
      std::min<double>(Quota, Requested + RoundUp));
}

void QuotaLedger::Impl::reportReceived(LinkId Peer, const QuotaReport &Report,
                                       TimePoint Now) {
  PeerReport &Row = m_Peers[Peer];
  Row.m_ReceivedAt = Now;
  Row.m_Demands.assign(m_Teams.size(), 0);
  for (const TeamDemand &Demand : Report.m_Demands) {
    const auto Team = m_Teams.find(Demand.m_Team);
    if (Team != m_Teams.end())
      Row.m_Demands[Team->second.m_Index] = Demand.m_StartsPerSecond;
  }
  ++m_Epoch;
}

void QuotaLedger::Impl::peerLost(LinkId Peer) {
  m_Peers.erase(Peer);
  ++m_Epoch;
}

QuotaReport QuotaLedger::Impl::makeReport(TimePoint Now) {
  // Limits the time that the counts are divided by: the first report has no
  // predecessor to measure from.
  constexpr double MaxSpanSeconds = 2.0;
  const std::chrono::duration<double> Elapsed = Now - m_ReportedAt;
  const double SpanSeconds = std::clamp(Elapsed.count(), 0.1, MaxSpanSeconds);
  m_ReportedAt = Now;
  QuotaReport Report;
  for (auto &[Name, Team] : m_Teams) {
    const std::uint32_t Demand =
        sharedDemand(Team.m_Quota, Team.m_Requested / SpanSeconds);
    Team.m_Requested = 0;
    Team.m_OwnDemand = Demand;
    if (Demand > 0)
      Report.m_Demands.push_back({Name, Demand});
  }
  ++m_Epoch;
  return Report;
}

QuotaLedger::QuotaLedger(std::uint32_t Entries)
    : m_Impl(std::make_unique<Impl>(Entries)) {}

QuotaLedger::~QuotaLedger() = default;

void QuotaLedger::configure(const Configuration &Config) {
  m_Impl->configure(Config);
}

bool QuotaLedger::tryTake(std::string_view Team, std::uint32_t Tasks,
                          TimePoint Now) {
  return m_Impl->tryTake(Team, Tasks, Now);
}

void QuotaLedger::reportReceived(LinkId Peer, const QuotaReport &Report,
                                 TimePoint Now) {
  m_Impl->reportReceived(Peer, Report, Now);
}

void QuotaLedger::peerLost(LinkId Peer) { m_Impl->peerLost(Peer); }

QuotaReport QuotaLedger::makeReport(TimePoint Now) {
  return m_Impl->makeReport(Now);
}

} // namespace cyclamencroft
