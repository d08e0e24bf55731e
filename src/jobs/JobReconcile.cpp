// Hellos of agents: what an agent holds after it has opened a link is compared
// with the runs that this entry has there.
#include "jobs/JobCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {

void JobCore::Impl::onEvent(const RunnerConnected &Event) {
  const RunnerIndex Index = rowOf(Event.m_Hello);
  RunnerRow &Row = m_Rows[Index];
  if (comesFromGivenUpLink(Row, Event.m_Hello))
    return rejectGivenUpLink(Event, Row);
  if (comesFromOtherAddress(Row, Event.m_Hello))
    return rejectLink(Event.m_Link, Row);
  if (Row.m_Link)
    dropRunner(Index, "replaced by a new link");
  Row.m_Link = Event.m_Link;
  Row.m_LinkNumber = Event.m_Hello.m_Link;
  m_RowByLink[Event.m_Link] = Index;
  Row.m_StartsSent = 0;
  Row.m_UnacknowledgedStarts.clear();
  Row.m_LastMessageAt = m_Now;
  Row.m_AnswerAwaitedSince = TimePoint::max();
  Row.m_Suspected = false;
  Row.m_ConfigHeld = 0;
  Row.m_ConfigSent = 0;
  sendHello(Row);
  log("agent-connected",
      {{"agent", Row.m_AgentId},
       {"endpoint", Event.m_Hello.m_Endpoint.m_Id},
       {"state", std::string(toString(Event.m_Hello.m_Endpoint.m_State))},
       {"runs", std::to_string(Row.m_Runs.size())}});
  reconcile(Index, Event.m_Hello);
  updateEndpoint(Index, Event.m_Hello.m_Endpoint);
  updateLoad(m_Rows[Index], Event.m_Hello.m_Load);
}

/// A hello that was held up lists the runs of an earlier time: those that have
/// started since are not in it.
bool JobCore::Impl::comesFromGivenUpLink(const RunnerRow &Row,
                                         const RunnerHello &Hello) {
  return isGivenUp({Hello.m_Incarnation, Hello.m_Link},
                   {Row.m_Incarnation, Row.m_LinkNumber},
                   Row.m_Link || !Row.m_Runs.empty());
}

void JobCore::Impl::rejectGivenUpLink(const RunnerConnected &Event,
                                      const RunnerRow &Row) {
  const RunnerHello &Hello = Event.m_Hello;
  log("old-link-rejected",
      {{"agent", Row.m_AgentId},
       {"link", describe(Hello.m_Link)},
       {"accepted", describe(Row.m_LinkNumber)},
       {"same-process",
        Hello.m_Incarnation == Row.m_Incarnation ? "yes" : "no"},
       {"connected", Row.m_Link ? "yes" : "no"},
       {"runs", std::to_string(Row.m_Runs.size())}});
  m_Commands->emplace_back(
      CloseLink{Event.m_Link, "the agent has opened a later link"});
}

/// An agent knows at each address which entry process it has met there. If it
/// has met this one at another address only, the runs that it holds for that
/// address are not in the hello, and may go on until their leases expire.
bool JobCore::Impl::comesFromOtherAddress(const RunnerRow &Row,
                                          const RunnerHello &Hello) const {
  if (Hello.m_Incarnation != Row.m_Incarnation ||
      Hello.m_Entry == m_Options.m_Incarnation)
    return false;
  const bool MayHoldRuns = !Row.m_Runs.empty() && !Row.m_AwaitsEarlierRunsEnded;
  return Row.m_Link || MayHoldRuns;
}

/// The agent connects again after a delay. It is accepted once the first link
/// is lost and its runs have ended.
void JobCore::Impl::rejectLink(LinkId Link, const RunnerRow &Row) {
  log("second-link-rejected", {{"agent", Row.m_AgentId},
                               {"connected", Row.m_Link ? "yes" : "no"},
                               {"runs", std::to_string(Row.m_Runs.size())}});
  m_Commands->emplace_back(
      CloseLink{Link, "the agent has met this entry at another address"});
}

/// The hello extends the lease as well.
void JobCore::Impl::sendHello(RunnerRow &Row) {
  EntryHello Hello;
  Hello.m_EntryId = m_Options.m_EntryId;
  Hello.m_Incarnation = m_Options.m_Incarnation;
  Hello.m_ConfigVersion = m_Config.m_Version;
  Hello.m_SentAt = m_Now;
  Row.m_LeaseSentAt = m_Now;
  send(Row, std::move(Hello));
  if (m_Evacuations.m_Offset > 0)
    send(Row, EvacuationReport{m_Evacuations});
}

RunnerIndex JobCore::Impl::rowOf(const RunnerHello &Hello) {
  const auto [Found, Added] = m_RowById.try_emplace(
      Hello.m_AgentId, static_cast<RunnerIndex>(m_Rows.size()));
  if (Added) {
    m_Rows.emplace_back();
    m_Rows.back().m_AgentId = Hello.m_AgentId;
    m_Rows.back().m_Incarnation = Hello.m_Incarnation;
  }
  return Found->second;
}

void JobCore::Impl::reconcile(RunnerIndex Index, const RunnerHello &Hello) {
  const Incarnation Before =
      std::exchange(m_Rows[Index].m_Incarnation, Hello.m_Incarnation);
  if (Before != Hello.m_Incarnation)
    m_Rows[Index].m_AwaitsEarlierRunsEnded = true;
  // A restarted agent doesn't know the runs of its previous process, on however
  // many links it says hello.
  if (m_Rows[Index].m_AwaitsEarlierRunsEnded)
    return;
  // The agent and this process have not met before, so there are no runs.
  if (Hello.m_Entry != m_Options.m_Incarnation) {
    m_Rows[Index].m_LeasesExpiredAt = TimePoint::max();
    return;
  }
  for (const TaskEnded &Each : Hello.m_Ended)
    runEnded(Index, Each);
  endMissingRuns(Index, Hello.m_Held);
  repeatStops(Index, Hello.m_Held);
  m_Rows[Index].m_LeasesExpiredAt = TimePoint::max();
}

/// Ends, as lost, the runs that the agent neither holds nor reports as ended.
void JobCore::Impl::endMissingRuns(RunnerIndex Index,
                                   const std::vector<RunName> &Held) {
  std::vector<RunName> Missing;
  for (const auto &[Name, Run] : m_Rows[Index].m_Runs)
    if (std::find(Held.begin(), Held.end(), Name) == Held.end())
      Missing.push_back(Name);
  for (const RunName &Each : Missing) {
    TaskEnded Lost;
    Lost.m_Run = Each;
    Lost.m_End = RunEnd::Lost;
    runEnded(Index, Lost);
  }
}

/// A stop is lost with its link, and a job may be answered while there is none.
/// The stops leave in one frame with the EntryHello, which extends the lease of
/// these runs, so the agent never receives it without them.
void JobCore::Impl::repeatStops(RunnerIndex Index,
                                const std::vector<RunName> &Held) {
  RunnerRow &Row = m_Rows[Index];
  for (const RunName &Each : Held) {
    const auto Found = Row.m_Runs.find(Each);
    const bool Known = Found != Row.m_Runs.end();
    if (Known && Found->second.isNeeded())
      continue;
    log("run-stop-repeated", {{"run", describe(Each)},
                              {"agent", Row.m_AgentId},
                              {"known", Known ? "yes" : "no"}});
    send(Row, StopRun{Each});
  }
}

} // namespace cyclamencroft
