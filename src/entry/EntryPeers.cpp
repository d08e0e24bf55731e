// Peer entries, configuration versions and quota reports.
#include "entry/EntryCoreImpl.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace cyclamencroft {
namespace {

constexpr Duration QuotaReportInterval = std::chrono::seconds(1);

} // namespace

void EntryCore::Impl::on(const PeerConnected &Event) {
  const EntryHello &Hello = Event.m_Hello;
  if (Hello.m_Protocol != ProtocolVersion) {
    const std::string Reason = "link protocol " +
                               std::to_string(Hello.m_Protocol) +
                               " is not supported; this entry uses version " +
                               std::to_string(ProtocolVersion);
    log("hello-rejected", {{"peer", Hello.m_EntryId}, {"reason", Reason}});
    return closeLink(Event.m_Link, Reason);
  }
  if (Hello.m_EntryId == m_Options.m_EntryId) {
    log("hello-rejected", {{"peer", Hello.m_EntryId},
                           {"reason", "the peer has this entry's id"}});
    return closeLink(Event.m_Link, "the peer has this entry's id");
  }
  const std::uint32_t Index = m_Peers.add();
  PeerRow &Peer = m_Peers[Index];
  Peer = PeerRow();
  Peer.m_Link = Event.m_Link;
  Peer.m_Id = Hello.m_EntryId;
  Peer.m_LastMessageAt = m_Now;
  m_PeerList.push_back(Index);
  m_Links[Event.m_Link] = LinkOwner{true, Index};
  updateEntryCount();
  EntryHello Reply;
  Reply.m_EntryId = m_Options.m_EntryId;
  Reply.m_Incarnation = m_Options.m_Incarnation;
  Reply.m_ConfigVersion = m_Versions.current();
  Reply.m_Entries = m_Entries;
  sendToPeer(Peer, std::move(Reply));
  peerVersion(Peer, Hello.m_ConfigVersion);
  peerIdleCheck(Index);
  if (m_QuotaTimer == NoTimer)
    m_QuotaTimer =
        m_Timers.add(m_Now + QuotaReportInterval, TimerKind::QuotaReport);
  log("peer-connected", {{"peer", Peer.m_Id},
                         {"version", std::to_string(Hello.m_ConfigVersion)}});
}

void EntryCore::Impl::peerMessage(std::uint32_t Index,
                                  const LinkMessage &Message) {
  PeerRow &Peer = m_Peers[Index];
  Peer.m_LastMessageAt = m_Now;
  ++m_Counters.m_ControlMessages;
  if (const auto *Hello = std::get_if<EntryHello>(&Message))
    return peerVersion(Peer, Hello->m_ConfigVersion);
  if (const auto *HeartbeatMessage = std::get_if<Heartbeat>(&Message))
    return peerVersion(Peer, HeartbeatMessage->m_ConfigVersion);
  if (const auto *Transfer = std::get_if<ConfigTransfer>(&Message))
    return peerVersion(Peer, Transfer->m_Version);
  if (const auto *Report = std::get_if<QuotaReport>(&Message))
    return m_Quotas.reportReceived(Peer.m_Link, *Report, m_Now);
  if (const auto *PingMessage = std::get_if<Ping>(&Message))
    return sendToPeer(Peer, Pong{PingMessage->m_Number});
}

void EntryCore::Impl::peerVersion(PeerRow &Peer, ConfigVersion Version) {
  Peer.m_ConfigVersion = Version;
  versionAnnounced(Version, Peer.m_Id);
  if (m_Config && Version < m_Versions.current())
    sendTransfer(Peer);
}

void EntryCore::Impl::peerLost(std::uint32_t Index) {
  PeerRow &Peer = m_Peers[Index];
  log("peer-link-lost", {{"peer", Peer.m_Id}});
  m_Timers.cancel(Peer.m_IdleTimer);
  m_Quotas.peerLost(Peer.m_Link);
  m_PeerList.erase(std::find(m_PeerList.begin(), m_PeerList.end(), Index));
  m_Peers.remove(Index);
  updateEntryCount();
}

void EntryCore::Impl::peerIdleCheck(std::uint32_t Index) {
  PeerRow &Peer = m_Peers[Index];
  if (m_Now - Peer.m_LastMessageAt >= LinkTimeout) {
    closeLink(Peer.m_Link, "no heartbeat from the peer");
    return peerLost(Index);
  }
  if (m_Now - Peer.m_LastSentAt >= HeartbeatInterval)
    sendToPeer(Peer, Heartbeat{m_Versions.current()});
  Peer.m_IdleTimer = m_Timers.add(Peer.m_LastSentAt + HeartbeatInterval,
                                  TimerKind::PeerIdle, Index);
}

void EntryCore::Impl::updateEntryCount() {
  // Two entries configured with each other's address may have two links.
  std::set<std::string_view> Ids;
  for (const std::uint32_t Index : m_PeerList)
    Ids.insert(m_Peers[Index].m_Id);
  const auto Entries = static_cast<std::uint32_t>(Ids.size() + 1);
  if (std::exchange(m_Entries, Entries) == Entries)
    return;
  m_Router.setEntries(Entries);
  for (ServiceIndex Index = 0; Index < m_Services.size(); ++Index)
    slotsChanged(Index);
}

void EntryCore::Impl::sendQuotaReports() {
  if (m_PeerList.empty())
    return;
  const QuotaReport Report = m_Quotas.makeReport(m_Now);
  for (const std::uint32_t Index : m_PeerList)
    sendToPeer(m_Peers[Index], Report);
  m_QuotaTimer =
      m_Timers.add(m_Now + QuotaReportInterval, TimerKind::QuotaReport);
}

void EntryCore::Impl::versionAnnounced(ConfigVersion Version,
                                       const std::string &From) {
  if (Version <= m_Versions.current())
    return;
  const TimePoint Before = m_Versions.overdueAt();
  m_Versions.noteAnnouncedVersion(Version, m_Now);
  if (m_Versions.overdueAt() != Before)
    log("config-behind", {{"version", std::to_string(m_Versions.current())},
                          {"heard", std::to_string(Version)},
                          {"from", From}});
  armConfigTimer();
}

void EntryCore::Impl::armConfigTimer() {
  m_Timers.cancel(m_ConfigTimer);
  const TimePoint Due = m_Versions.overdueAt();
  if (Due > m_Now && Due != TimePoint::max())
    m_ConfigTimer = m_Timers.add(Due, TimerKind::ConfigOverdue);
}

void EntryCore::Impl::configOverdue() {
  log("config-overdue",
      {{"version", std::to_string(m_Versions.current())},
       {"effect", "new work is refused until the higher version arrives"}});
}

void EntryCore::Impl::on(const ConfigAdopted &Event) {
  if (!Event.m_State || !m_Versions.adopt(Event.m_State->m_Version)) {
    const ConfigVersion Offered = Event.m_State ? Event.m_State->m_Version : 0;
    if (Offered < m_Versions.current())
      log("config-not-adopted",
          {{"version", std::to_string(m_Versions.current())},
           {"offered", std::to_string(Offered)}});
    return;
  }
  m_Config = Event.m_State;
  m_Preset = &m_Config->preset();
  log("config-adopted", {{"version", std::to_string(m_Config->m_Version)},
                         {"preset", m_Config->m_PresetName}});
  armConfigTimer();
  applyConfig();
  for (const std::uint32_t Index : m_PeerList)
    if (m_Peers[Index].m_ConfigVersion < m_Config->m_Version)
      sendTransfer(m_Peers[Index]);
}

void EntryCore::Impl::applyConfig() {
  const Configuration &Config = m_Config->m_Configuration;
  m_Quotas.configure(Config);
  m_Router.setAgentQueue(m_Preset->m_AgentQueue);
  for (ServiceIndex Index = 0; Index < m_Services.size(); ++Index) {
    Service &Each = m_Services[Index];
    const auto Declared = Config.m_Services.find(Each.m_Name);
    const bool Known = Declared != Config.m_Services.end();
    Each.m_Config = Known ? &Declared->second : nullptr;
    slotsChanged(Index);
  }
  const auto &Drained = m_Preset->m_DrainedFailureDomains;
  for (const AgentRowIndex Index : sortedRows()) {
    AgentRow &Row = m_Rows[Index];
    Row.m_DomainDrained =
        std::find(Drained.begin(), Drained.end(),
                  Row.m_Hello.m_FailureDomain) != Drained.end();
    refreshAvailability(Row);
    sendView(Row);
  }
}

std::vector<AgentRowIndex> EntryCore::Impl::sortedRows() const {
  std::vector<AgentRowIndex> Rows;
  Rows.reserve(m_RowById.size());
  for (const auto &[Id, Index] : m_RowById)
    Rows.push_back(Index);
  std::sort(Rows.begin(), Rows.end());
  return Rows;
}

void EntryCore::Impl::sendView(AgentRow &Row) {
  if (!m_Config || !Row.m_Link || Row.m_ConfigVersion >= m_Versions.current())
    return;
  Row.m_ConfigVersion = m_Versions.current();
  ConfigView View;
  View.m_Version = m_Versions.current();
  View.m_Preset = m_Config->m_PresetName;
  View.m_AgentQueue = m_Preset->m_AgentQueue;
  View.m_DrainedFailureDomains = m_Preset->m_DrainedFailureDomains;
  sendToAgent(Row, std::move(View));
}

void EntryCore::Impl::sendTransfer(PeerRow &Peer) {
  ConfigTransfer Transfer;
  Transfer.m_Version = m_Config->m_Version;
  Transfer.m_Offset = m_Config->m_Offset;
  Transfer.m_Preset = m_Config->m_PresetName;
  Transfer.m_Document = m_Config->m_Document;
  sendToPeer(Peer, std::move(Transfer));
}

} // namespace cyclamencroft
