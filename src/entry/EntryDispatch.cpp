// Late binding: a waiting task is assigned to an agent only when that agent is
// estimated to have a free slot.
#include "entry/EntryCoreImpl.h"

#include <utility>

namespace cyclamencroft {

void EntryCore::Impl::markForDispatch(ServiceIndex Index) {
  if (Index == NoIndex || m_Services[Index].m_DispatchNeeded)
    return;
  m_Services[Index].m_DispatchNeeded = true;
  m_ServicesToDispatch.push_back(Index);
}

void EntryCore::Impl::slotsChanged(ServiceIndex Index) {
  if (Index == NoIndex || m_Services[Index].m_Queue.waitingTasks() == 0)
    return;
  m_Services[Index].m_Queue.unblock();
  markForDispatch(Index);
}

void EntryCore::Impl::dispatchMarkedServices() {
  // A dispatch may mark more services.
  for (std::size_t Position = 0; Position < m_ServicesToDispatch.size();
       ++Position) {
    const ServiceIndex Index = m_ServicesToDispatch[Position];
    m_Services[Index].m_DispatchNeeded = false;
    dispatchService(Index);
  }
  m_ServicesToDispatch.clear();
}

void EntryCore::Impl::dispatchService(ServiceIndex Index) {
  ServiceQueue &Queue = m_Services[Index].m_Queue;
  for (;;) {
    const SubmissionIndex Next = Queue.front();
    if (Next == NoIndex)
      return;
    if (m_Submissions[Next].m_Deadline <= m_Now) {
      deadlineReached(Next);
      continue;
    }
    const std::optional<AgentRowIndex> To = chooseAgent(m_Submissions[Next]);
    if (!To) {
      Queue.block(Next);
      continue;
    }
    const std::uint32_t TaskNumber = Queue.take(Next);
    m_Submissions[Next].m_Tasks[TaskNumber].m_Attempt =
        startAttempt(Next, TaskNumber, *To);
    armHedge(Next);
  }
}

std::optional<AgentRowIndex>
EntryCore::Impl::chooseAgent(const Submission &For) {
  const RouteQuery Query{m_Services[For.m_Service].m_Name, For.m_Need,
                         For.m_AvoidedAgent};
  NoRoute Cause = NoRoute::AllBusy;
  for (;;) {
    const std::optional<AgentIndex> Route =
        m_Router.choose(Query, m_Preset->m_Routing, m_Now, Cause);
    if (!Route)
      return std::nullopt;
    AgentRow &Row = m_Rows[m_RowByRoute[*Route]];
    if (Row.takesWork())
      return m_RowByRoute[*Route];
    // The row is authoritative: with stale state in the router, a task must not
    // be sent past the end of the agent's window or to an agent whose tasks
    // are in doubt.
    if (!Row.m_Available)
      return std::nullopt;
    refreshAvailability(Row);
  }
}

AttemptIndex EntryCore::Impl::startAttempt(SubmissionIndex Owner,
                                           std::uint32_t TaskNumber,
                                           AgentRowIndex To) {
  Submission &Pending = m_Submissions[Owner];
  AgentRow &Row = m_Rows[To];
  const AttemptIndex Index = m_Attempts.add();
  Attempt &Started = m_Attempts[Index];
  Started = Attempt{};
  Started.m_Submission = Owner;
  Started.m_Task = TaskNumber;
  Started.m_Request = Pending.m_Request;
  Started.m_Agent = To;
  Started.m_Trace = TraceContext{Pending.m_Trace.m_TraceId, Pending.m_SpanId};
  Started.m_SpanId = newSpanId();
  Started.m_Start = m_Now;
  Started.m_CountedAsRunning = true;
  Started.m_Sequence = Row.m_Ledger.assign(Index);
  ++Pending.m_TasksOutstanding;
  ++m_Counters.m_Dispatches;

  Dispatch Message;
  Message.m_Sequence = Started.m_Sequence;
  Message.m_Floor = Row.m_Ledger.floor();
  Message.m_Request = Pending.m_Request;
  Message.m_TaskIndex = TaskNumber;
  Message.m_NonIdempotent = Pending.m_NonIdempotent;
  Message.m_SentAt = m_Now;
  Message.m_TimeLeft = Pending.m_Deadline - m_Now;
  Message.m_Trace = TraceContext{Pending.m_Trace.m_TraceId, Started.m_SpanId};
  Message.m_Body = Pending.m_Tasks[TaskNumber].m_Body;
  sendToAgent(Row, std::move(Message));

  m_Router.dispatched(*Row.m_Route, m_Now);
  if (Row.m_Ledger.outstanding() == 1)
    startLivenessTimer(To);
  if (Row.m_Ledger.full())
    refreshAvailability(Row);
  return Index;
}

void EntryCore::Impl::armHedge(SubmissionIndex Owner) {
  Submission &Pending = m_Submissions[Owner];
  if (!m_Preset->m_Hedging || Pending.isJob() || Pending.m_NonIdempotent)
    return;
  const Duration Usual =
      m_Router.meanRunTime(m_Services[Pending.m_Service].m_Name);
  if (Usual <= Duration{})
    return;
  const double After =
      static_cast<double>(Usual.count()) * m_Preset->m_HedgeAfter;
  addHedgeTimer(Owner, Duration(static_cast<std::int64_t>(After)));
}

void EntryCore::Impl::addHedgeTimer(SubmissionIndex Owner, Duration After) {
  Submission &Pending = m_Submissions[Owner];
  m_Timers.cancel(Pending.m_HedgeTimer);
  if (m_Now + After < Pending.m_Deadline)
    Pending.m_HedgeTimer = m_Timers.add(m_Now + After, TimerKind::Hedge, Owner);
}

bool EntryCore::Impl::isStraggler(const AgentRow &Row) const {
  return Row.m_Liveness == LivenessState::Suspected ||
         (Row.m_Route && m_Router.isSlow(*Row.m_Route, m_Now));
}

void EntryCore::Impl::startHedge(SubmissionIndex Owner) {
  Submission &Pending = m_Submissions[Owner];
  const AttemptIndex First = Pending.m_Tasks[0].m_Attempt;
  Service &Target = m_Services[Pending.m_Service];
  const bool Allowed = m_Preset->m_Hedging && First != NoIndex &&
                       Pending.m_Hedge == NoIndex &&
                       Target.m_Queue.waitingTasks() == 0;
  if (!Allowed)
    return;
  const AgentRowIndex FirstRow = m_Attempts[First].m_Agent;
  // A long task at an agent of normal speed would take as long elsewhere:
  // hedging such tasks cost 0.2 messages per task in runs without faults, with
  // no benefit.
  if (!isStraggler(m_Rows[FirstRow]))
    return addHedgeTimer(Owner, m_Router.meanRunTime(Target.m_Name));
  Pending.m_AvoidedAgent = m_Rows[FirstRow].m_Route;
  const std::optional<AgentRowIndex> To = chooseAgent(Pending);
  // Cancellation is by request id, so two attempts at one agent could not be
  // cancelled separately.
  if (!To || *To == FirstRow || !Target.m_Budget.tryRetry(m_Now))
    return;
  ++m_Counters.m_Hedges;
  Pending.m_Hedge = startAttempt(Owner, 0, *To);
}

} // namespace cyclamencroft
