// Ends of attempts. Only an explicit confirmation that a task was not started
// lets it be dispatched again; any other end without a result makes its outcome
// unknown.
#include "entry/EntryCoreImpl.h"

#include <string>
#include <utility>

namespace cyclamencroft {
namespace {

/// Refusals of one task before it is given up, so that nothing loops.
constexpr std::uint16_t MaxRefusals = 16;

/// Same for refusals for want of a slot. While other entries use all slots, the
/// task at the head takes every trial that the router makes, so that a low
/// limit would give it up long before its deadline.
constexpr std::uint16_t MaxNoSlotRefusals = 256;

/// Attempts of an idempotent request that may have run.
constexpr std::uint8_t MaxAttempts = 3;

} // namespace

void EntryCore::Impl::resultReceived(AgentRowIndex From,
                                     const TaskResult &Result) {
  AgentRow &Row = m_Rows[From];
  const AttemptIndex Index = Row.m_Ledger.find(Result.m_Sequence);
  // Repeated, or late: its attempt was settled in another way.
  if (Index == NoIndex)
    return;
  ++m_Counters.m_Results;
  Attempt &Open = m_Attempts[Index];
  if (std::exchange(Open.m_Counted, false))
    m_Router.finished(*Row.m_Route, Result, m_Now);
  const Attempt Ended =
      closeAttempt(Index, Result.m_Outcome != Outcome::Completed);
  slotsChanged(Row.m_Service);
  if (Ended.m_Submission == NoIndex)
    return;
  const bool Ran = Result.m_Outcome == Outcome::Completed ||
                   Result.m_Outcome == Outcome::Failed;
  if (Ran)
    return taskEnded(Ended, Result);
  unknownOutcome(Ended, "the endpoint's answer did not arrive whole");
}

void EntryCore::Impl::refusalReceived(AgentRowIndex From,
                                      const TaskRefused &Refusal) {
  // The window has seen the sequence, so another copy of the message may have
  // started the task: this refusal tells nothing about it.
  if (Refusal.m_Reason == RefusalReason::SequenceRepeated)
    return;
  AgentRow &Row = m_Rows[From];
  const AttemptIndex Index = Row.m_Ledger.find(Refusal.m_Sequence);
  if (Index == NoIndex)
    return;
  ++m_Counters.m_Refusals;
  if (std::exchange(m_Attempts[Index].m_Counted, false))
    m_Router.refused(*Row.m_Route, Refusal, m_Now);
  attemptNotStarted(Index, Refusal.m_Reason);
}

void EntryCore::Impl::attemptNotStarted(AttemptIndex Index,
                                        RefusalReason Reason) {
  const Attempt Ended = closeAttempt(Index, true);
  slotsChanged(m_Rows[Ended.m_Agent].m_Service);
  if (Ended.m_Submission == NoIndex)
    return;
  Submission &Of = m_Submissions[Ended.m_Submission];
  if (!Of.isJob() && Of.m_TasksOutstanding > 0)
    return;
  Task &Refused = Of.m_Tasks[Ended.m_Task];
  const bool NoSlot = Reason == RefusalReason::NoSlot;
  std::uint16_t &Refusals =
      NoSlot ? Refused.m_NoSlotRefusals : Refused.m_Refusals;
  if (++Refusals >= (NoSlot ? MaxNoSlotRefusals : MaxRefusals))
    return refusedForGood(Ended.m_Submission, Reason,
                          "agents refused the task " +
                              std::to_string(Refusals) + " times");
  if (!Of.isJob())
    Of.m_Avoid = m_Rows[Ended.m_Agent].m_Route;
  m_Services[Of.m_Service].m_Queue.returnTask(Ended.m_Submission, Ended.m_Task);
  markDirty(Of.m_Service);
}

void EntryCore::Impl::attemptUnknown(AttemptIndex Index, std::string_view Why) {
  abandonRoute(m_Attempts[Index]);
  const Attempt Ended = closeAttempt(Index, true);
  if (Ended.m_Submission != NoIndex)
    unknownOutcome(Ended, Why);
}

Attempt EntryCore::Impl::closeAttempt(AttemptIndex Index, bool Failed) {
  Attempt &Open = m_Attempts[Index];
  m_Timers.cancel(Open.m_OrphanTimer);
  const Attempt Ended = Open;
  AgentRow &Row = m_Rows[Ended.m_Agent];
  const bool WasClosed = Row.m_Ledger.full() || Row.m_Reconciling;
  Row.m_Ledger.settle(Ended.m_Sequence);
  // Nothing is in doubt any more; a reply that comes later is ignored.
  if (Row.m_Ledger.outstanding() == 0)
    Row.m_Reconciling = false;
  if (WasClosed)
    refreshAvailability(Row);
  endSpan(Ended.m_Trace, Ended.m_SpanId, "dispatch", Row.m_Id, Ended.m_Start,
          Failed);
  m_Attempts.remove(Index);
  if (Ended.m_Submission != NoIndex)
    detach(Ended, Index);
  return Ended;
}

void EntryCore::Impl::detach(const Attempt &Ended, AttemptIndex Index) {
  Submission &Of = m_Submissions[Ended.m_Submission];
  --Of.m_TasksOutstanding;
  AttemptIndex &First = Of.m_Tasks[Ended.m_Task].m_Attempt;
  if (First == Index)
    First = std::exchange(Of.m_Hedge, NoIndex);
  else
    Of.m_Hedge = NoIndex;
}

void EntryCore::Impl::abandonRoute(Attempt &Open) {
  if (std::exchange(Open.m_Counted, false))
    m_Router.abandoned(*m_Rows[Open.m_Agent].m_Route);
}

void EntryCore::Impl::taskEnded(const Attempt &Ended,
                                const TaskResult &Result) {
  Submission &Of = m_Submissions[Ended.m_Submission];
  if (Of.isJob())
    return jobTaskCompleted(Ended.m_Submission, Ended.m_Task, Result);
  AnswerRequest Answer;
  Answer.m_Outcome = Result.m_Outcome;
  Answer.m_HttpStatus = Result.m_HttpStatus;
  Answer.m_Body = Result.m_Body;
  if (Result.m_Outcome == Outcome::Failed)
    Answer.m_Detail = "the task failed at agent " + m_Rows[Ended.m_Agent].m_Id;
  answerRequest(Ended.m_Submission, std::move(Answer));
}

void EntryCore::Impl::unknownOutcome(const Attempt &Ended,
                                     std::string_view Why) {
  Submission &Of = m_Submissions[Ended.m_Submission];
  Of.m_MayHaveRun = true;
  const AgentRow &Row = m_Rows[Ended.m_Agent];
  std::string Detail(Why);
  Detail += "; agent " + Row.m_Id;
  if (Of.isJob()) {
    Detail = "task " + std::to_string(Ended.m_Task) + ": " + Detail;
    return answerNotCompleted(Ended.m_Submission, Outcome::Failed,
                              RefusalReason::None, std::move(Detail));
  }
  // The other attempt of a hedged request may still answer.
  if (Of.m_TasksOutstanding > 0)
    return;
  const bool Repeatable = !Of.m_NonIdempotent && m_Now < Of.m_Deadline &&
                          ++Of.m_Attempts < MaxAttempts;
  if (!Repeatable || !m_Services[Of.m_Service].m_Budget.tryRetry(m_Now))
    return answerNotCompleted(Ended.m_Submission, Outcome::Unknown,
                              RefusalReason::None, std::move(Detail));
  ++m_Counters.m_Retries;
  Of.m_Avoid = Row.m_Route;
  m_Timers.cancel(Of.m_HedgeTimer);
  m_Services[Of.m_Service].m_Queue.returnTask(Ended.m_Submission, Ended.m_Task);
  markDirty(Of.m_Service);
}

void EntryCore::Impl::orphanExpired(AttemptIndex Index) {
  const Attempt &Open = m_Attempts[Index];
  log("attempt-abandoned", {{"agent", m_Rows[Open.m_Agent].m_Id},
                            {"request", Open.m_Request.toHex()},
                            {"sequence", std::to_string(Open.m_Sequence)}});
  const ServiceIndex In = m_Rows[Open.m_Agent].m_Service;
  attemptUnknown(Index, "abandoned");
  slotsChanged(In);
}

} // namespace cyclamencroft
