// Copies of the configuration at agents. During an outage of the store, entries
// that start, or whose requests the store refuses, load the newest copy that an
// agent has.
#include "jobs/JobCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Agents that hold a copy for one entry: one may be lost with its host. More
/// copies would only add traffic.
constexpr std::size_t WantedCopies = 2;

/// All entries of a domain adopt a change at the same time. Each waits for a
/// random part of this time before it sends a copy, and for all of it before
/// the next one. The agent that receives the first copy reports it, so that the
/// other entries need not send theirs, and a large document does not saturate a
/// slow link.
constexpr Duration CopyInterval = std::chrono::seconds(1);

/// The store and the agents report a change at the same time. An entry that has
/// a configuration waits this long for the store before it requests a copy, so
/// that the document isn't sent twice.
constexpr Duration StoreGracePeriod = std::chrono::milliseconds(200);

/// Agents report their copies as they connect, within a fraction of a second
/// after an entry has started. An entry without a configuration collects
/// reports for this long before it requests the newest copy: the first agent
/// may have missed the latest changes, and queues that were withdrawn would be
/// in use again.
constexpr Duration CopyCollectionTime = std::chrono::milliseconds(200);

/// After this time without an answer, a copy is requested again from the same
/// agent or another one.
constexpr Duration CopyRequestTimeout = std::chrono::milliseconds(300);

} // namespace

void JobCore::Impl::onEvent(const ConfigInForce &Event) {
  m_Config = Event;
  const auto Microseconds = static_cast<std::uint32_t>(CopyInterval.count());
  m_NextCopyAt = m_Now + Duration(m_CopyDelays.below(Microseconds));
}

void JobCore::Impl::onMessage(RunnerIndex Index, const ConfigHeld &Message) {
  RunnerRow &Row = m_Rows[Index];
  if (std::exchange(Row.m_ConfigHeld, Message.m_Version) != Message.m_Version)
    Row.m_ConfigHeldAt = m_Now;
  m_CopiesReportedSince = std::min(m_CopiesReportedSince, m_Now);
  requestConfig();
}

void JobCore::Impl::onMessage(RunnerIndex Index,
                              const ConfigTransfer &Message) {
  RunnerRow &Row = m_Rows[Index];
  // A reported copy is requested once: a copy that can't be read would not
  // become readable by a second transfer.
  Row.m_ConfigHeld = 0;
  Row.m_ConfigSent = std::max(Row.m_ConfigSent, Message.m_Version);
  m_ConfigRequestedAt = TimePoint::max();
  const bool Newer = Message.m_Version > m_Config.m_Version;
  log("config-copy-received",
      {{"agent", Row.m_AgentId},
       {"version", std::to_string(Message.m_Version)},
       {"version-in-force", std::to_string(m_Config.m_Version)},
       {"outcome", Newer ? "offered" : "ignored"}});
  if (Newer)
    m_Commands->emplace_back(
        ConfigReceived{Message.m_Offset, Message.m_Document});
}

void JobCore::Impl::placeCopies() {
  if (m_Config.m_Version == 0 || m_Now < m_NextCopyAt ||
      countCopies() >= WantedCopies)
    return;
  const std::optional<RunnerIndex> Target = nextCopyTarget();
  if (!Target)
    return;
  RunnerRow &Row = m_Rows[*Target];
  Row.m_ConfigSent = m_Config.m_Version;
  m_NextCopyAt = m_Now + CopyInterval;
  log("config-copy-sent", {{"agent", Row.m_AgentId},
                           {"version", std::to_string(m_Config.m_Version)}});
  send(Row, ConfigTransfer{m_Config.m_Version, m_Config.m_Offset, "",
                           m_Config.m_Document});
}

std::size_t JobCore::Impl::countCopies() const {
  const auto HasCopy = [this](const RunnerRow &Row) {
    return Row.m_Link &&
           std::max(Row.m_ConfigHeld, Row.m_ConfigSent) >= m_Config.m_Version;
  };
  return static_cast<std::size_t>(
      std::count_if(m_Rows.begin(), m_Rows.end(), HasCopy));
}

/// Only agents of the entry's own failure domain: copies elsewhere would add
/// traffic between domains. The lowest agent id comes first, so that all
/// entries of a domain choose the same agents.
std::optional<RunnerIndex> JobCore::Impl::nextCopyTarget() const {
  std::optional<RunnerIndex> Best;
  for (RunnerIndex Index = 0; Index < m_Rows.size(); ++Index) {
    const RunnerRow &Row = m_Rows[Index];
    if (!Row.m_Link || Row.m_Suspected ||
        Row.m_Endpoint.m_FailureDomain != m_Options.m_FailureDomain ||
        std::max(Row.m_ConfigHeld, Row.m_ConfigSent) >= m_Config.m_Version)
      continue;
    if (!Best || Row.m_AgentId < m_Rows[*Best].m_AgentId)
      Best = Index;
  }
  return Best;
}

/// Requests the newest copy if it is newer than the configuration in force.
void JobCore::Impl::requestConfig() {
  if (m_ConfigRequestedAt != TimePoint::max() &&
      m_Now - m_ConfigRequestedAt < CopyRequestTimeout)
    return;
  const auto Newest = std::max_element(
      m_Rows.begin(), m_Rows.end(), [](const RunnerRow &A, const RunnerRow &B) {
        return (A.m_Link ? A.m_ConfigHeld : 0) <
               (B.m_Link ? B.m_ConfigHeld : 0);
      });
  if (Newest == m_Rows.end() || !Newest->m_Link ||
      Newest->m_ConfigHeld <= m_Config.m_Version) {
    m_ConfigRequestedAt = TimePoint::max();
    return;
  }
  const TimePoint RequestAt = m_Config.m_Version > 0
                                  ? Newest->m_ConfigHeldAt + StoreGracePeriod
                                  : m_CopiesReportedSince + CopyCollectionTime;
  if (m_Now < RequestAt)
    return;
  m_ConfigRequestedAt = m_Now;
  log("config-copy-requested",
      {{"agent", Newest->m_AgentId},
       {"version", std::to_string(Newest->m_ConfigHeld)},
       {"version-in-force", std::to_string(m_Config.m_Version)}});
  send(*Newest, ConfigRequest{});
}

} // namespace cyclamencroft
