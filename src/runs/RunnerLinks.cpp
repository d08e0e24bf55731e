// Messages between a run agent and entries, and leases of entries.
#include "runs/LeaseTimes.h"
#include "runs/RunnerCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Bounds of the time between two load reports to one entry, which the entry
/// sets. The lower one limits the message rate of a busy endpoint; the upper
/// one keeps an entry from acting on a load that was reported seconds ago.
constexpr Duration MinReportInterval = std::chrono::milliseconds(10);
constexpr Duration MaxReportInterval = std::chrono::milliseconds(500);

/// Reported run ends are kept this long, to be repeated on a new connection.
/// Longer than any job's deadline for which a lost end still matters.
constexpr Duration RecentEndRetention = std::chrono::seconds(3);

} // namespace

EntryLink *RunnerCore::Impl::findLink(LinkId Link) {
  for (auto &[Address, Each] : m_Links)
    if (Each.m_Link == Link)
      return &Each;
  return nullptr;
}

void RunnerCore::Impl::onEvent(const RunnerLinkOpened &Event) {
  EntryLink &Link = m_Links[Event.m_Address];
  Link.m_Address = Event.m_Address;
  Link.m_Link = Event.m_Link;
  Link.m_HelloReceived = false;
  Link.m_DelayMeasured = false;
  Link.m_LastMessageAt = m_Now;
  Link.m_StartsReceived = 0;
  Link.m_EvacuationsOffset = 0;
  sendHello(Link);
}

void RunnerCore::Impl::sendHello(EntryLink &Link) {
  RunnerHello Hello;
  Hello.m_AgentId = m_Options.m_AgentId;
  Hello.m_Incarnation = m_Options.m_Incarnation;
  Hello.m_Link = std::exchange(m_NextLink, next(m_NextLink));
  Hello.m_Entry = Link.m_Entry;
  for (const auto &[Name, Each] : m_Runs)
    if (Each.m_Owner == &Link)
      Hello.m_Held.push_back(Name);
  m_Waiting.forEach([&](const WaitingRun &Each) {
    if (Each.m_Owner == &Link)
      Hello.m_Held.push_back(Each.m_Name);
  });
  for (EntryLink::RecentEnd &Each : Link.m_RecentEnds) {
    Hello.m_Ended.push_back(Each.m_End);
    Each.m_Reported = true;
  }
  Hello.m_Endpoint = offeredView();
  Hello.m_Load = load(Link);
  Link.m_RequestSentAt = m_Now;
  send(Link, std::move(Hello));
}

void RunnerCore::Impl::onEvent(const LinkClosed &Event) {
  EntryLink *Link = findLink(Event.m_Link);
  if (!Link)
    return;
  Link->m_Link.reset();
  Link->m_HelloReceived = false;
  Link->m_ReportDueAt = TimePoint::max();
  log("entry-link-lost", {{"entry", Link->m_EntryId},
                          {"address", Link->m_Address},
                          {"runs-held", holdsRunsOf(*Link) ? "yes" : "no"}});
}

void RunnerCore::Impl::onEvent(const MessageReceived &Event) {
  EntryLink *Link = findLink(Event.m_Link);
  if (!Link)
    return;
  Link->m_LastMessageAt = m_Now;
  std::visit([&](const auto &Message) { onMessage(*Link, Message); },
             Event.m_Message);
}

void RunnerCore::Impl::onMessage(EntryLink &Link, const EntryHello &Hello) {
  if (Link.m_Entry != Hello.m_Incarnation) {
    stopRunsOf(Link, "entry-restarted");
    Link.m_RecentEnds.clear();
    for (auto &[Name, Each] : m_Runs)
      if (Each.m_Owner == &Link)
        Each.m_Owner = nullptr;
  }
  Link.m_HelloReceived = true;
  Link.m_EntryId = Hello.m_EntryId;
  Link.m_Entry = Hello.m_Incarnation;
  measureRoundTrip(Link);
  extendLease(Link, Hello.m_SentAt);
  reportMissedEnds(Link);
  log("entry-link-open",
      {{"entry", Hello.m_EntryId}, {"address", Link.m_Address}});
  if (m_Config.m_Version > Hello.m_ConfigVersion)
    send(Link, ConfigHeld{m_Config.m_Version});
}

void RunnerCore::Impl::onMessage(EntryLink &Link,
                                 const ConfigTransfer &Message) {
  if (Message.m_Version <= m_Config.m_Version)
    return send(Link, ConfigHeld{m_Config.m_Version});
  log("config-copy-kept", {{"entry", Link.m_EntryId},
                           {"version", std::to_string(Message.m_Version)},
                           {"before", std::to_string(m_Config.m_Version)}});
  m_Config = Message;
  for (auto &[Address, Each] : m_Links)
    if (Each.m_HelloReceived)
      send(Each, ConfigHeld{m_Config.m_Version});
}

void RunnerCore::Impl::onMessage(EntryLink &Link, const ConfigRequest &) {
  log("config-copy-given", {{"entry", Link.m_EntryId},
                            {"version", std::to_string(m_Config.m_Version)}});
  send(Link, m_Config);
}

void RunnerCore::Impl::onMessage(EntryLink &Link, const EntryLease &Message) {
  extendLease(Link, Message.m_SentAt);
  Link.m_ReportInterval = std::clamp(Message.m_ReportInterval,
                                     MinReportInterval, MaxReportInterval);
  reportLoad(Link);
  reportEvacuations(Link);
}

void RunnerCore::Impl::onMessage(EntryLink &Link,
                                 const EvacuationReport &Message) {
  const EvacuationView &View = Message.m_View;
  Link.m_EvacuationsOffset = std::max(Link.m_EvacuationsOffset, View.m_Offset);
  if (!View.isNewerThan(m_Evacuations))
    return reportEvacuations(Link);
  if (View.m_Domains != m_Evacuations.m_Domains)
    log("evacuations-adopted",
        {{"entry", Link.m_EntryId},
         {"offset", std::to_string(View.m_Offset)},
         {"offset-before", std::to_string(m_Evacuations.m_Offset)},
         {"domains", describe(View)},
         {"domains-before", describe(m_Evacuations)},
         {"failure-domain", m_View.m_FailureDomain}});
  m_Evacuations = View;
}

/// An entry that reads the store has the view before its next lease arrives, so
/// that only those that can't read it are sent one.
void RunnerCore::Impl::reportEvacuations(EntryLink &Link) {
  if (Link.m_EvacuationsOffset >= m_Evacuations.m_Offset)
    return;
  Link.m_EvacuationsOffset = m_Evacuations.m_Offset;
  send(Link, EvacuationReport{m_Evacuations});
}

void RunnerCore::Impl::onMessage(EntryLink &Link, const Goodbye &Message) {
  log("entry-leaves",
      {{"entry", Link.m_EntryId}, {"reason", Message.m_Reason}});
  dropLink(Link, "goodbye");
}

/// The answer may have been delayed in transit for as long as the round trip
/// took. If that is too long, the round trip is measured again.
void RunnerCore::Impl::measureRoundTrip(EntryLink &Link) {
  const Duration RoundTrip = m_Now - Link.m_RequestSentAt;
  // The minimum delay may differ on a new connection.
  Link.m_Delay = DelayEstimate{};
  Link.m_DelayMeasured =
      RoundTrip <= maxUnmeasuredDelay(m_Options.m_EndpointLease);
  if (Link.m_DelayMeasured)
    return;
  log("entry-answer-late",
      {{"entry", Link.m_EntryId},
       {"round-trip-us", std::to_string(RoundTrip.count())}});
  Link.m_RequestSentAt = m_Now;
  send(Link, Ping{++Link.m_LastPing});
}

/// The entry sends a lease after each pong, which becomes the first message
/// that the delays of the link are measured against.
void RunnerCore::Impl::onMessage(EntryLink &Link, const Pong &Message) {
  if (Message.m_Number == Link.m_LastPing)
    measureRoundTrip(Link);
}

Duration RunnerCore::Impl::extendLease(EntryLink &Link, TimePoint SentAt) {
  if (!Link.m_DelayMeasured)
    return Duration::max();
  const Duration Delay = Link.m_Delay.excessDelay(m_Now, SentAt);
  Link.m_LeaseExpiresAt =
      std::max(Link.m_LeaseExpiresAt, m_Now - Delay + EntryLeaseTime);
  return Delay;
}

void RunnerCore::Impl::dropLink(EntryLink &Link, std::string Reason) {
  m_Commands->push_back(CloseLink{*Link.m_Link, std::move(Reason)});
  Link.m_Link.reset();
  Link.m_HelloReceived = false;
  Link.m_ReportDueAt = TimePoint::max();
}

void RunnerCore::Impl::send(EntryLink &Link, LinkMessage Message) {
  if (Link.m_Link)
    m_Commands->push_back(SendMessage{*Link.m_Link, std::move(Message)});
}

void RunnerCore::Impl::reportRunEnd(EntryLink &Owner, TaskEnded End) {
  while (!Owner.m_RecentEnds.empty() &&
         Owner.m_RecentEnds.front().m_At + RecentEndRetention < m_Now)
    Owner.m_RecentEnds.pop_front();
  Owner.m_RecentEnds.push_back({m_Now, End, Owner.m_HelloReceived});
  if (!Owner.m_HelloReceived)
    return;
  send(Owner, End);
  Owner.m_ReportDueAt = TimePoint::max();
  Owner.m_LoadSentAt = m_Now;
}

/// Runs that ended between the two hellos of a link are on no list of the
/// RunnerHello. They could not be reported before it was known that the entry
/// is the process that has started them.
void RunnerCore::Impl::reportMissedEnds(EntryLink &Link) {
  for (EntryLink::RecentEnd &Each : Link.m_RecentEnds)
    if (!std::exchange(Each.m_Reported, true))
      send(Link, Each.m_End);
}

void RunnerCore::Impl::reportLoad(EntryLink &Link) {
  Link.m_ReportDueAt = TimePoint::max();
  Link.m_LoadSentAt = m_Now;
  if (Link.m_HelloReceived)
    send(Link, LoadReport{load(Link)});
}

void RunnerCore::Impl::markReportsDue(const EntryLink *StartedBy) {
  const TimePoint Soonest = m_Now + MinReportInterval;
  for (auto &[Address, Link] : m_Links) {
    if (!Link.m_HelloReceived)
      continue;
    const TimePoint Due =
        &Link == StartedBy
            ? Soonest
            : std::max(Soonest, Link.m_LoadSentAt + Link.m_ReportInterval);
    Link.m_ReportDueAt = std::min(Link.m_ReportDueAt, Due);
  }
}

void RunnerCore::Impl::reportEndpoint() {
  const EndpointView View = offeredView();
  m_ReportedState = View.m_State;
  for (auto &[Address, Link] : m_Links)
    if (Link.m_Link)
      send(Link, EndpointReport{View, load(Link)});
}

bool RunnerCore::Impl::holdsRunsOf(const EntryLink &Link) const {
  bool Waits = false;
  m_Waiting.forEach(
      [&](const WaitingRun &Each) { Waits |= Each.m_Owner == &Link; });
  if (Waits)
    return true;
  return std::any_of(m_Runs.begin(), m_Runs.end(), [&Link](const auto &Each) {
    const Run &Held = Each.second;
    const bool Ending =
        Held.m_Phase == Phase::Stopping || Held.m_Phase == Phase::Stopped;
    return Held.m_Owner == &Link && !Ending;
  });
}

} // namespace cyclamencroft
