// Results, refusals and losses of attempts. A task is dispatched again only
// after an explicit confirmation that it was not started. Any other end without
// a result makes the outcome of the attempt unknown; only idempotent requests
// are retried then.
#include "entry/EntryCoreImpl.h"

#include <string>
#include <utility>

namespace cyclamencroft {
namespace {

/// Number of refusals after which a task fails for good; prevents endless
/// redispatch.
constexpr std::uint16_t MaxRefusals = 16;

/// Same limit for refusals for lack of a free slot. While other entries use all
/// slots, the router sends single tasks as trials. Each trial uses the task at
/// the head of the queue, so that a low limit would fail that task long before
/// its deadline.
constexpr std::uint16_t MaxNoSlotRefusals = 256;

/// Maximum number of attempts of an idempotent request that may have run.
constexpr std::uint8_t MaxAttempts = 3;

} // namespace

void EntryCore::Impl::resultReceived(AgentRowIndex From,
                                     const TaskResult &Result) {
  AgentRow &Row = m_Rows[From];
  const AttemptIndex Index = Row.m_Ledger.find(Result.m_Sequence);
  // Duplicate or late result: the attempt is settled already.
  if (Index == NoIndex)
    return;
  ++m_Counters.m_Results;
  Attempt &Open = m_Attempts[Index];
  if (std::exchange(Open.m_CountedAsRunning, false))
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
  handleUnknownOutcome(Ended, "the endpoint's answer did not arrive whole");
}

void EntryCore::Impl::refusalReceived(AgentRowIndex From,
                                      const TaskRefused &Refusal) {
  // The agent's window already contains the sequence, so another copy of the
  // message may have started the task. This refusal does not show whether it
  // did.
  if (Refusal.m_Reason == RefusalReason::SequenceRepeated)
    return;
  AgentRow &Row = m_Rows[From];
  const AttemptIndex Index = Row.m_Ledger.find(Refusal.m_Sequence);
  if (Index == NoIndex)
    return;
  ++m_Counters.m_Refusals;
  if (std::exchange(m_Attempts[Index].m_CountedAsRunning, false))
    m_Router.refused(*Row.m_Route, Refusal, m_Now);
  attemptNotStarted(Index, Refusal.m_Reason);
}

void EntryCore::Impl::attemptNotStarted(AttemptIndex Index,
                                        RefusalReason Reason) {
  const Attempt Ended = closeAttempt(Index, true);
  slotsChanged(m_Rows[Ended.m_Agent].m_Service);
  if (Ended.m_Submission == NoIndex)
    return;
  Submission &Pending = m_Submissions[Ended.m_Submission];
  if (!Pending.isJob() && Pending.m_TasksOutstanding > 0)
    return;
  Task &Refused = Pending.m_Tasks[Ended.m_Task];
  const bool NoSlot = Reason == RefusalReason::NoSlot;
  std::uint16_t &Refusals =
      NoSlot ? Refused.m_NoSlotRefusals : Refused.m_Refusals;
  if (++Refusals >= (NoSlot ? MaxNoSlotRefusals : MaxRefusals))
    return refusePermanently(Ended.m_Submission, Reason,
                             "agents refused the task " +
                                 std::to_string(Refusals) + " times");
  if (!Pending.isJob())
    Pending.m_AvoidedAgent = m_Rows[Ended.m_Agent].m_Route;
  m_Services[Pending.m_Service].m_Queue.returnTask(Ended.m_Submission,
                                                   Ended.m_Task);
  markForDispatch(Pending.m_Service);
}

void EntryCore::Impl::settleAsUnknown(AttemptIndex Index,
                                      std::string_view Cause) {
  abandonRoute(m_Attempts[Index]);
  const Attempt Ended = closeAttempt(Index, true);
  if (Ended.m_Submission != NoIndex)
    handleUnknownOutcome(Ended, Cause);
}

Attempt EntryCore::Impl::closeAttempt(AttemptIndex Index, bool Failed) {
  Attempt &Open = m_Attempts[Index];
  m_Timers.cancel(Open.m_OrphanTimer);
  const Attempt Ended = Open;
  AgentRow &Row = m_Rows[Ended.m_Agent];
  const bool WasExcluded = Row.m_Ledger.full() || Row.m_Reconciling;
  Row.m_Ledger.settle(Ended.m_Sequence);
  // No attempt is in doubt any more; a later reply is ignored.
  if (Row.m_Ledger.outstanding() == 0)
    Row.m_Reconciling = false;
  if (WasExcluded)
    refreshAvailability(Row);
  endSpan(Ended.m_Trace, Ended.m_SpanId, "dispatch", Row.m_Id, Ended.m_Start,
          Failed);
  m_Attempts.remove(Index);
  if (Ended.m_Submission != NoIndex)
    detach(Ended, Index);
  return Ended;
}

void EntryCore::Impl::detach(const Attempt &Ended, AttemptIndex Index) {
  Submission &Pending = m_Submissions[Ended.m_Submission];
  --Pending.m_TasksOutstanding;
  AttemptIndex &First = Pending.m_Tasks[Ended.m_Task].m_Attempt;
  if (First == Index)
    First = std::exchange(Pending.m_Hedge, NoIndex);
  else
    Pending.m_Hedge = NoIndex;
}

void EntryCore::Impl::abandonRoute(Attempt &Open) {
  if (std::exchange(Open.m_CountedAsRunning, false))
    m_Router.abandoned(*m_Rows[Open.m_Agent].m_Route, m_Now);
}

void EntryCore::Impl::taskEnded(const Attempt &Ended,
                                const TaskResult &Result) {
  Submission &Pending = m_Submissions[Ended.m_Submission];
  if (Pending.isJob())
    return jobTaskCompleted(Ended.m_Submission, Ended.m_Task, Result);
  if (Result.m_Outcome == Outcome::Failed && retryFailed(Ended))
    return;
  AnswerRequest Answer;
  Answer.m_Outcome = Result.m_Outcome;
  Answer.m_HttpStatus = Result.m_HttpStatus;
  Answer.m_Body = Result.m_Body;
  if (Result.m_Outcome == Outcome::Failed)
    Answer.m_Detail = "the task failed at agent " + m_Rows[Ended.m_Agent].m_Id;
  answerRequest(Ended.m_Submission, std::move(Answer));
}

bool EntryCore::Impl::mayRetry(const Submission &Pending) {
  return !Pending.m_NonIdempotent && m_Now < Pending.m_Deadline &&
         Pending.m_Attempts + 1 < MaxAttempts;
}

bool EntryCore::Impl::retryFailed(const Attempt &Ended) {
  Submission &Pending = m_Submissions[Ended.m_Submission];
  // The outcome "not run" is excluded from here on.
  Pending.m_MayHaveRun = true;
  // The other attempt of a hedged request may still answer.
  if (Pending.m_TasksOutstanding > 0)
    return true;
  if (!mayRetry(Pending))
    return false;
  Pending.m_AvoidedAgent = m_Rows[Ended.m_Agent].m_Route;
  // The same agent would fail the request again, and waiting for another one
  // would delay the tasks behind it in the queue, so it is retried only at an
  // agent that has a free slot now.
  const std::optional<AgentRowIndex> To = chooseAgent(Pending);
  if (!To || *To == Ended.m_Agent ||
      !m_Services[Pending.m_Service].m_Budget.tryRetry(m_Now))
    return false;
  ++Pending.m_Attempts;
  ++m_Counters.m_Retries;
  Pending.m_Tasks[Ended.m_Task].m_Attempt =
      startAttempt(Ended.m_Submission, Ended.m_Task, *To);
  armHedge(Ended.m_Submission);
  return true;
}

bool EntryCore::Impl::retryUnknown(const Attempt &Ended) {
  Submission &Pending = m_Submissions[Ended.m_Submission];
  // The other attempt of a hedged request may still answer.
  if (Pending.m_TasksOutstanding > 0)
    return true;
  if (!mayRetry(Pending) ||
      !m_Services[Pending.m_Service].m_Budget.tryRetry(m_Now))
    return false;
  ++Pending.m_Attempts;
  ++m_Counters.m_Retries;
  Pending.m_AvoidedAgent = m_Rows[Ended.m_Agent].m_Route;
  m_Timers.cancel(Pending.m_HedgeTimer);
  m_Services[Pending.m_Service].m_Queue.returnTask(Ended.m_Submission,
                                                   Ended.m_Task);
  markForDispatch(Pending.m_Service);
  return true;
}

void EntryCore::Impl::handleUnknownOutcome(const Attempt &Ended,
                                           std::string_view Cause) {
  Submission &Pending = m_Submissions[Ended.m_Submission];
  Pending.m_MayHaveRun = true;
  const AgentRow &Row = m_Rows[Ended.m_Agent];
  std::string Detail(Cause);
  Detail += "; agent " + Row.m_Id;
  if (Pending.isJob()) {
    Detail = "task " + std::to_string(Ended.m_Task) + ": " + Detail;
    return answerNotCompleted(Ended.m_Submission, Outcome::Failed,
                              RefusalReason::None, std::move(Detail));
  }
  if (!retryUnknown(Ended))
    answerNotCompleted(Ended.m_Submission, Outcome::Unknown,
                       RefusalReason::None, std::move(Detail));
}

void EntryCore::Impl::orphanExpired(AttemptIndex Index) {
  const Attempt &Open = m_Attempts[Index];
  log("attempt-abandoned", {{"agent", m_Rows[Open.m_Agent].m_Id},
                            {"request", Open.m_Request.toHex()},
                            {"sequence", std::to_string(Open.m_Sequence)}});
  const ServiceIndex AgentService = m_Rows[Open.m_Agent].m_Service;
  settleAsUnknown(Index, "abandoned");
  slotsChanged(AgentService);
}

} // namespace cyclamencroft
