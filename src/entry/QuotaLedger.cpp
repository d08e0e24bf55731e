// Placeholder until the routing branch is merged: an even share a second.
#include "entry/QuotaLedger.h"

#include <map>
#include <string>

namespace cyclamencroft {

class QuotaLedger::Impl {
public:
  struct Usage {
    std::uint32_t m_Limit = 0;
    std::uint32_t m_Used = 0;
    TimePoint m_Since{};
  };
  std::uint32_t m_Entries = 1;
  std::map<std::string, Usage, std::less<>> m_Teams;
};

QuotaLedger::QuotaLedger(std::uint32_t Entries)
    : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Entries = Entries;
}
QuotaLedger::~QuotaLedger() = default;

void QuotaLedger::configure(const Configuration &Config) {
  for (const auto &[Name, Team] : Config.m_Teams)
    m_Impl->m_Teams[Name].m_Limit = Team.m_StartsPerSecond / m_Impl->m_Entries;
}

bool QuotaLedger::tryTake(std::string_view Team, std::uint32_t Tasks,
                          TimePoint Now) {
  const auto Found = m_Impl->m_Teams.find(Team);
  if (Found == m_Impl->m_Teams.end() || Found->second.m_Limit == 0)
    return true;
  Impl::Usage &Usage = Found->second;
  if (Now - Usage.m_Since >= std::chrono::seconds(1)) {
    Usage.m_Since = Now;
    Usage.m_Used = 0;
  }
  if (Usage.m_Used + Tasks > Usage.m_Limit)
    return false;
  Usage.m_Used += Tasks;
  return true;
}

void QuotaLedger::reportReceived(LinkId, const QuotaReport &, TimePoint) {}
void QuotaLedger::peerLost(LinkId) {}
QuotaReport QuotaLedger::makeReport(TimePoint) { return {}; }

} // namespace cyclamencroft
