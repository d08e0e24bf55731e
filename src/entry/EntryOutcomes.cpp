// Answers to callers and what remains to be done after them.
#include "entry/EntryCoreImpl.h"

#include <utility>

namespace cyclamencroft {
namespace {

/// An attempt whose submission was answered without it is waited for this long,
/// since its slot stays busy; then its sequence is settled, so that it can't
/// keep the window's floor in place.
constexpr Duration OrphanLimit = std::chrono::seconds(10);

} // namespace

void EntryCore::Impl::answerRequest(SubmissionIndex Index,
                                    AnswerRequest Answer) {
  const Submission &Of = m_Submissions[Index];
  Answer.m_Caller = Of.m_Caller;
  Answer.m_Request = Of.m_Request;
  const Outcome How = Answer.m_Outcome;
  const bool Logged = How != Outcome::Completed && How != Outcome::NotRun &&
                      Of.m_CallerWaits && m_OutcomeLog.allowDetail();
  if (Logged)
    log("request-not-completed", {{"request", Of.m_Request.toHex()},
                                  {"service", m_Services[Of.m_Service].m_Name},
                                  {"outcome", std::string(toString(How))},
                                  {"detail", Answer.m_Detail}});
  if (How == Outcome::NotRun)
    m_OutcomeLog.countRefusal(Answer.m_Reason);
  if (How == Outcome::Unknown)
    ++m_Counters.m_UnknownOutcomes;
  if (Of.m_CallerWaits)
    m_Commands->emplace_back(std::move(Answer));
  finish(Index, How);
}

void EntryCore::Impl::answerNotCompleted(SubmissionIndex Index, Outcome How,
                                         RefusalReason Reason,
                                         std::string Detail) {
  const Submission &Of = m_Submissions[Index];
  if (!Of.isJob()) {
    AnswerRequest Answer;
    Answer.m_Outcome = How;
    Answer.m_Reason = Reason;
    Answer.m_Detail = std::move(Detail);
    return answerRequest(Index, std::move(Answer));
  }
  if (How == Outcome::NotRun)
    m_OutcomeLog.countRefusal(Reason);
  else if (Of.m_CallerWaits && m_OutcomeLog.allowDetail())
    log("job-not-completed", {{"request", Of.m_Request.toHex()},
                              {"service", m_Services[Of.m_Service].m_Name},
                              {"outcome", std::string(toString(How))},
                              {"tasks", std::to_string(Of.m_Tasks.size())},
                              {"done", std::to_string(Of.m_TasksDone)},
                              {"detail", Detail}});
  if (Of.m_CallerWaits)
    m_Commands->emplace_back(AnswerJob{
        Of.m_Caller, Of.m_Request, How, Reason, std::move(Detail), {}});
  finish(Index, How);
}

void EntryCore::Impl::jobTaskCompleted(SubmissionIndex Index,
                                       std::uint32_t TaskNumber,
                                       const TaskResult &Result) {
  Submission &Of = m_Submissions[Index];
  if (Result.m_Outcome == Outcome::Failed) {
    Of.m_MayHaveRun = true;
    return answerNotCompleted(Index, Outcome::Failed, RefusalReason::None,
                              "task " + std::to_string(TaskNumber) +
                                  " failed with status " +
                                  std::to_string(Result.m_HttpStatus));
  }
  Of.m_Tasks[TaskNumber].m_Answer =
      TaskAnswer{Result.m_HttpStatus, Result.m_Body};
  if (++Of.m_TasksDone < Of.m_Tasks.size())
    return;
  AnswerJob Answer;
  Answer.m_Caller = Of.m_Caller;
  Answer.m_Request = Of.m_Request;
  Answer.m_Tasks.reserve(Of.m_Tasks.size());
  for (Task &Each : Of.m_Tasks)
    Answer.m_Tasks.push_back(std::move(Each.m_Answer));
  m_Commands->emplace_back(std::move(Answer));
  finish(Index, Outcome::Completed);
}

bool EntryCore::Impl::started(const Submission &Of) {
  return Of.m_MayHaveRun || Of.m_TasksDone > 0 || Of.m_TasksOutstanding > 0;
}

void EntryCore::Impl::refusedForGood(SubmissionIndex Index,
                                     RefusalReason Reason, std::string Detail) {
  const Submission &Of = m_Submissions[Index];
  if (!started(Of))
    return answerNotCompleted(Index, Outcome::NotRun, Reason,
                              std::move(Detail));
  const Outcome How = Of.isJob() ? Outcome::Failed : Outcome::Unknown;
  answerNotCompleted(Index, How, RefusalReason::None, std::move(Detail));
}

void EntryCore::Impl::cancel(SubmissionIndex Index, std::string Detail) {
  const bool Started = started(m_Submissions[Index]);
  answerNotCompleted(Index, Started ? Outcome::Cancelled : Outcome::NotRun,
                     Started ? RefusalReason::None : RefusalReason::Cancelled,
                     std::move(Detail));
}

void EntryCore::Impl::deadlineReached(SubmissionIndex Index) {
  const bool Started = started(m_Submissions[Index]);
  refusedForGood(Index, RefusalReason::DeadlinePassed,
                 Started ? "the deadline passed before the answer"
                         : "the deadline passed before the start");
}

void EntryCore::Impl::finish(SubmissionIndex Index, Outcome How) {
  Submission &Done = m_Submissions[Index];
  m_Services[Done.m_Service].m_Queue.remove(Index);
  orphanAttempts(Done);
  m_Timers.cancel(Done.m_DeadlineTimer);
  m_Timers.cancel(Done.m_HedgeTimer);
  releaseKey(Done, How);
  endSpan(Done.m_Trace, Done.m_SpanId, "entry", std::string(), Done.m_ArrivedAt,
          How != Outcome::Completed);
  m_Submissions.remove(Index);
}

void EntryCore::Impl::releaseKey(Submission &Done, Outcome How) {
  if (Done.m_Key == 0)
    return;
  if (How == Outcome::NotRun)
    m_Keys.forget(Done.m_Key);
  else
    m_Keys.release(Done.m_Key, m_Now);
}

void EntryCore::Impl::orphanAttempts(Submission &Done) {
  if (Done.m_TasksOutstanding == 0)
    return;
  const std::uint64_t CancelNumber = ++m_Cancels;
  for (const Task &Each : Done.m_Tasks)
    if (Each.m_Attempt != NoIndex)
      orphan(Each.m_Attempt, CancelNumber);
  if (Done.m_Hedge != NoIndex)
    orphan(Done.m_Hedge, CancelNumber);
}

void EntryCore::Impl::orphan(AttemptIndex Index, std::uint64_t CancelNumber) {
  Attempt &Open = m_Attempts[Index];
  Open.m_Submission = NoIndex;
  Open.m_OrphanTimer =
      m_Timers.add(m_Now + OrphanLimit, TimerKind::Orphan, Index);
  AgentRow &Row = m_Rows[Open.m_Agent];
  if (std::exchange(Row.m_LastCancel, CancelNumber) == CancelNumber)
    return;
  sendToAgent(Row, CancelTasks{Open.m_Request});
}

} // namespace cyclamencroft
