// Late binding: waiting tasks go to an agent only when it is believed to have a
// free slot.
#include "entry/EntryCoreImpl.h"

#include <utility>

namespace cyclamencroft {

void EntryCore::Impl::markDirty(ServiceIndex Index) {
  if (Index == NoIndex || m_Services[Index].m_Dirty)
    return;
  m_Services[Index].m_Dirty = true;
  m_Dirty.push_back(Index);
}

void EntryCore::Impl::slotsChanged(ServiceIndex Index) {
  if (Index == NoIndex || m_Services[Index].m_Queue.waitingTasks() == 0)
    return;
  m_Services[Index].m_Queue.unblock();
  markDirty(Index);
}

void EntryCore::Impl::dispatchDirty() {
  // A dispatch may mark further services.
  for (std::size_t Position = 0; Position < m_Dirty.size(); ++Position) {
    const ServiceIndex Index = m_Dirty[Position];
    m_Services[Index].m_Dirty = false;
    dispatchService(Index);
  }
  m_Dirty.clear();
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
                         For.m_Avoid};
  NoRoute Why = NoRoute::AllBusy;
  for (;;) {
    const std::optional<AgentIndex> Route =
        m_Router.choose(Query, m_Preset->m_Routing, m_Now, Why);
    if (!Route)
      return std::nullopt;
    AgentRow &Row = m_Rows[m_RowByRoute[*Route]];
    if (Row.takesWork())
      return m_RowByRoute[*Route];
    // The row decides: a router that is behind must not get a task sent past
    // the end of the agent's window or to an agent whose tasks are in doubt.
    if (!Row.m_Available)
      return std::nullopt;
    refreshAvailability(Row);
  }
}

AttemptIndex EntryCore::Impl::startAttempt(SubmissionIndex Owner,
                                           std::uint32_t TaskNumber,
                                           AgentRowIndex To) {
  Submission &Of = m_Submissions[Owner];
  AgentRow &Row = m_Rows[To];
  const AttemptIndex Index = m_Attempts.add();
  Attempt &Started = m_Attempts[Index];
  Started = Attempt{};
  Started.m_Submission = Owner;
  Started.m_Task = TaskNumber;
  Started.m_Request = Of.m_Request;
  Started.m_Agent = To;
  Started.m_Trace = TraceContext{Of.m_Trace.m_TraceId, Of.m_SpanId};
  Started.m_SpanId = newSpanId();
  Started.m_Start = m_Now;
  Started.m_Counted = true;
  Started.m_Sequence = Row.m_Ledger.assign(Index);
  ++Of.m_TasksOutstanding;
  ++m_Counters.m_Dispatches;

  Dispatch Message;
  Message.m_Sequence = Started.m_Sequence;
  Message.m_Floor = Row.m_Ledger.floor();
  Message.m_Request = Of.m_Request;
  Message.m_TaskIndex = TaskNumber;
  Message.m_NonIdempotent = Of.m_NonIdempotent;
  Message.m_SentAt = m_Now;
  Message.m_TimeLeft = Of.m_Deadline - m_Now;
  Message.m_Trace = TraceContext{Of.m_Trace.m_TraceId, Started.m_SpanId};
  Message.m_Body = Of.m_Tasks[TaskNumber].m_Body;
  sendToAgent(Row, std::move(Message));

  m_Router.dispatched(*Row.m_Route, m_Now);
  if (Row.m_Ledger.outstanding() == 1)
    watchSilence(To);
  if (Row.m_Ledger.full())
    refreshAvailability(Row);
  return Index;
}

void EntryCore::Impl::armHedge(SubmissionIndex Owner) {
  Submission &Of = m_Submissions[Owner];
  if (!m_Preset->m_Hedging || Of.isJob() || Of.m_NonIdempotent)
    return;
  const Duration Usual = m_Router.usualRunTime(m_Services[Of.m_Service].m_Name);
  if (Usual <= Duration{})
    return;
  const double After =
      static_cast<double>(Usual.count()) * m_Preset->m_HedgeAfter;
  const TimePoint Due = m_Now + Duration(static_cast<std::int64_t>(After));
  m_Timers.cancel(Of.m_HedgeTimer);
  if (Due < Of.m_Deadline)
    Of.m_HedgeTimer = m_Timers.add(Due, TimerKind::Hedge, Owner);
}

void EntryCore::Impl::startHedge(SubmissionIndex Owner) {
  Submission &Of = m_Submissions[Owner];
  const AttemptIndex First = Of.m_Tasks[0].m_Attempt;
  Service &In = m_Services[Of.m_Service];
  const bool Allowed = m_Preset->m_Hedging && First != NoIndex &&
                       Of.m_Hedge == NoIndex && In.m_Queue.waitingTasks() == 0;
  if (!Allowed)
    return;
  const AgentRowIndex FirstRow = m_Attempts[First].m_Agent;
  Of.m_Avoid = m_Rows[FirstRow].m_Route;
  const std::optional<AgentRowIndex> To = chooseAgent(Of);
  // Both attempts at one agent could not be cancelled apart.
  if (!To || *To == FirstRow || !In.m_Budget.tryRetry(m_Now))
    return;
  ++m_Counters.m_Hedges;
  Of.m_Hedge = startAttempt(Owner, 0, *To);
}

} // namespace cyclamencroft
