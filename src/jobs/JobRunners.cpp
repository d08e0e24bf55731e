// Agents of an entry: messages, leases, silence and stalled runs.
#include "jobs/JobCoreImpl.h"

#include "runs/LeaseTimes.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// An agent whose load reports do not include a start after this time is
/// suspected: the agent or its link is impaired. A report usually takes 15 ms.
constexpr Duration StartReportTimeout = std::chrono::milliseconds(100);

/// An agent that sends nothing for this long after a start or a lease is
/// suspected.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(300);

/// Silence after which a link is closed, so that the agent opens a new one.
constexpr Duration DeadLinkTimeout = std::chrono::milliseconds(1500);

/// A run is overdue beyond this multiple of its usual run time plus a margin
/// for delays that don't grow with it. Estimates are off by up to half of that.
constexpr double StallFactor = 3;
constexpr Duration StallMargin = std::chrono::milliseconds(60);

/// Beyond this multiple, an overdue run is stopped and its task started
/// elsewhere.
constexpr double RestartFactor = 4;

/// Time that a request to stop a run takes, including the links in between.
constexpr Duration StopTime = std::chrono::milliseconds(60);

/// Load reports that an entry takes per second from all agents together.
constexpr Duration::rep MaxReportsPerSecond = 600;

Duration scaled(Duration Time, double Factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(Time.count()) * Factor));
}

} // namespace

void JobCore::Impl::onEvent(const MessageReceived &Event) {
  const auto Found = m_RowByLink.find(Event.m_Link);
  if (Found == m_RowByLink.end())
    return;
  const RunnerIndex Index = Found->second;
  RunnerRow &Row = m_Rows[Index];
  Row.m_LastMessageAt = m_Now;
  Row.m_AnswerAwaitedSince = TimePoint::max();
  if (std::exchange(Row.m_Suspected, false)) {
    log("agent-answers", {{"agent", Row.m_AgentId}});
    if (!Row.m_AwaitsEarlierRunsEnded)
      Row.m_LeasesExpiredAt = TimePoint::max();
    m_DispatchNeeded = true;
  }
  std::visit([&](const auto &Message) { onMessage(Index, Message); },
             Event.m_Message);
}

void JobCore::Impl::onMessage(RunnerIndex Index, const EndpointReport &Report) {
  updateEndpoint(Index, Report.m_Endpoint);
  updateLoad(m_Rows[Index], Report.m_Load);
}

void JobCore::Impl::onMessage(RunnerIndex Index, const LoadReport &Report) {
  updateLoad(m_Rows[Index], Report.m_Load);
}

void JobCore::Impl::onMessage(RunnerIndex Index, const Goodbye &) {
  dropRunner(Index, "goodbye");
}

/// The agent measures the delay of the lease that follows the pong.
void JobCore::Impl::onMessage(RunnerIndex Index, const Ping &Message) {
  RunnerRow &Row = m_Rows[Index];
  send(Row, Pong{Message.m_Number});
  extendLease(Row);
}

void JobCore::Impl::updateEndpoint(RunnerIndex Index,
                                   const EndpointView &Endpoint) {
  RunnerRow &Row = m_Rows[Index];
  if (Row.m_Endpoint.m_State != Endpoint.m_State ||
      Row.m_Endpoint.m_Generation != Endpoint.m_Generation)
    log("endpoint-state", {{"agent", Row.m_AgentId},
                           {"endpoint", Endpoint.m_Id},
                           {"generation", describe(Endpoint.m_Generation)},
                           {"state", std::string(toString(Endpoint.m_State))}});
  Row.m_Endpoint = Endpoint;
  markEvacuated(Row);
  const bool EarlierRunsEnded = Endpoint.m_State != EndpointState::Absent &&
                                Endpoint.m_State != EndpointState::Clearing;
  if (Row.m_AwaitsEarlierRunsEnded && EarlierRunsEnded)
    endRunsAsLost(Index, "agent-restarted");
  m_DispatchNeeded = true;
}

void JobCore::Impl::updateLoad(RunnerRow &Row, const EndpointLoad &Load) {
  Row.m_Load = Load;
  Row.m_LoadAt = m_Now;
  assess(Row);
  while (!Row.m_UnacknowledgedStarts.empty() &&
         Row.m_UnacknowledgedStarts.front().m_Ordinal <= Load.m_StartsReceived)
    Row.m_UnacknowledgedStarts.pop_front();
  if (!m_Waiting.empty())
    m_DispatchNeeded = true;
}

void JobCore::Impl::onEvent(const LinkClosed &Event) {
  const auto Found = m_RowByLink.find(Event.m_Link);
  if (Found == m_RowByLink.end())
    return;
  const RunnerIndex Index = Found->second;
  m_RowByLink.erase(Found);
  m_Rows[Index].m_Link.reset();
  markUnreachable(Index, "link-closed");
}

void JobCore::Impl::markUnreachable(RunnerIndex Index, std::string_view Cause) {
  RunnerRow &Row = m_Rows[Index];
  log("agent-out-of-reach", {{"agent", Row.m_AgentId},
                             {"reason", std::string(Cause)},
                             {"runs", std::to_string(Row.m_Runs.size())}});
  Row.m_UnacknowledgedStarts.clear();
  if (!Row.m_Runs.empty())
    Row.m_LeasesExpiredAt = std::min(
        Row.m_LeasesExpiredAt,
        allLeasesExpiredAt(Row.m_LeaseSentAt, m_Options.m_EndpointLease));
}

void JobCore::Impl::dropRunner(RunnerIndex Index, std::string Reason) {
  RunnerRow &Row = m_Rows[Index];
  const LinkId Link = *std::exchange(Row.m_Link, std::nullopt);
  m_RowByLink.erase(Link);
  markUnreachable(Index, Reason);
  m_Commands->emplace_back(CloseLink{Link, std::move(Reason)});
}

void JobCore::Impl::checkRunners() {
  m_Placement.updateMedians(m_Rows);
  for (RunnerIndex Index = 0; Index < m_Rows.size(); ++Index)
    checkRunner(Index);
  placeCopies();
  requestConfig();
  refuseUnplaceable();
}

void JobCore::Impl::checkRunner(RunnerIndex Index) {
  RunnerRow &Row = m_Rows[Index];
  if (m_Now >= Row.m_LeasesExpiredAt)
    endRunsAsLost(Index, "leases-lapsed");
  if (!Row.m_Link)
    return;
  checkStalled(Index);
  assess(Row);
  const Duration Silence =
      m_Now -
      std::min(m_Now, std::max(Row.m_AnswerAwaitedSince, Row.m_LastMessageAt));
  const bool Unanswered =
      !Row.m_UnacknowledgedStarts.empty() &&
      m_Now - Row.m_UnacknowledgedStarts.front().m_SentAt > StartReportTimeout;
  const bool Silent = Silence > SilenceTimeout;
  if (!Row.m_Suspected && (Unanswered || Silent)) {
    Row.m_Suspected = true;
    Row.m_LeasesExpiredAt =
        allLeasesExpiredAt(Row.m_LeaseSentAt, m_Options.m_EndpointLease);
    log("agent-suspected",
        {{"agent", Row.m_AgentId},
         {"reason", Unanswered ? "start-unanswered" : "silent"},
         {"silent-us", std::to_string(Silence.count())},
         {"runs", std::to_string(Row.m_Runs.size())}});
  }
  if (Silence > DeadLinkTimeout)
    return dropRunner(Index, "the agent is silent");
  const Duration Interval =
      Row.m_Runs.empty() ? IdleLeaseInterval : EntryLeaseInterval;
  if (!Row.m_Suspected && m_Now - Row.m_LeaseSentAt >= Interval)
    extendLease(Row);
}

void JobCore::Impl::extendLease(RunnerRow &Row) {
  Row.m_LeaseSentAt = m_Now;
  Row.m_AnswerAwaitedSince = std::min(Row.m_AnswerAwaitedSince, m_Now);
  send(Row, EntryLease{m_Now, reportInterval()});
}

/// Reports of other entries' runs arrive from every agent. Bounding their rate
/// leaves the processor of an entry to its jobs in a fleet of any size.
Duration JobCore::Impl::reportInterval() const {
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) *
         static_cast<Duration::rep>(m_RowByLink.size()) / MaxReportsPerSecond;
}

/// Marks an endpoint whose runs are stalled or have become far slower, and
/// stops overdue runs that can still be done elsewhere before their deadline.
void JobCore::Impl::checkStalled(RunnerIndex Index) {
  RunnerRow &Row = m_Rows[Index];
  Row.m_Stalled = false;
  if (Row.m_Runs.empty())
    return;
  const double MedianRatio = std::max(1.0, m_Placement.medianRunTimeRatio());
  for (auto &[Name, Run] : Row.m_Runs) {
    const Duration Expected = scaled(Run.m_Estimate, MedianRatio);
    const Duration Age = m_Now - Run.m_SentAt;
    if (Age > scaled(Expected, StallFactor) + StallMargin)
      Row.m_Stalled = true;
    const bool Restart =
        Run.isNeeded() && Age > scaled(Expected, RestartFactor) + StallMargin &&
        m_Now + StopTime + Expected < m_Jobs[Run.m_Job].m_Times.m_Deadline;
    if (Restart)
      stopStalled(Index, Name, Run);
  }
}

/// Updates the health of an endpoint and logs a change of it.
void JobCore::Impl::assess(RunnerRow &Row) {
  const EndpointHealth Health = m_Placement.assess(Row);
  if (Health == std::exchange(Row.m_Health, Health))
    return;
  const EndpointQuality &Quality = Row.m_Load.m_Quality;
  log("endpoint-judged",
      {{"agent", Row.m_AgentId},
       {"verdict", std::string(toString(Health))},
       {"run-time-percent", std::to_string(Quality.m_RunTimePercent)},
       {"usual-percent",
        std::to_string(m_Placement.usualRunTimePercent(Row.m_Endpoint))},
       {"failed-percent", std::to_string(Quality.m_FailedPercent)},
       {"sample-age-us", std::to_string(Quality.m_SampleAge.count())},
       {"stalled", Row.m_Stalled ? "yes" : "no"}});
}

void JobCore::Impl::stopStalled(RunnerIndex Index, const RunName &Name,
                                OwnRun &Run) {
  RunnerRow &Row = m_Rows[Index];
  Run.m_Stopping = true;
  log("run-overdue",
      {{"run", describe(Name)},
       {"agent", Row.m_AgentId},
       {"age-us", std::to_string((m_Now - Run.m_SentAt).count())},
       {"estimate-us", std::to_string(Run.m_Estimate.count())}});
  send(Row, StopRun{Name});
}

void JobCore::Impl::send(RunnerRow &Row, LinkMessage Message) {
  if (Row.m_Link)
    m_Commands->emplace_back(SendMessage{*Row.m_Link, std::move(Message)});
}

} // namespace cyclamencroft
