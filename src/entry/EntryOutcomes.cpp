// Answers to callers, and the cleanup of a submission after its answer.
#include "entry/EntryCoreImpl.h"

#include <utility>

namespace cyclamencroft {
namespace {

/// An orphaned attempt, whose submission was answered without it, stays open
/// this long, since its slot is still busy. Then its sequence is settled, so
/// that it cannot block the advance of the window's floor.
constexpr Duration OrphanTimeout = std::chrono::seconds(10);

} // namespace

void EntryCore::Impl::answerRequest(SubmissionIndex Index,
                                    AnswerRequest Answer) {
  const Submission &Pending = m_Submissions[Index];
  Answer.m_Caller = Pending.m_Caller;
  Answer.m_Request = Pending.m_Request;
  const Outcome FinalOutcome = Answer.m_Outcome;
  const bool Logged = FinalOutcome != Outcome::Completed &&
                      FinalOutcome != Outcome::NotRun &&
                      Pending.m_CallerConnected && m_OutcomeLog.allowDetail();
  if (Logged)
    log("request-not-completed",
        {{"request", Pending.m_Request.toHex()},
         {"service", m_Services[Pending.m_Service].m_Name},
         {"outcome", std::string(toString(FinalOutcome))},
         {"detail", Answer.m_Detail}});
  if (FinalOutcome == Outcome::NotRun)
    m_OutcomeLog.countRefusal(Answer.m_Reason);
  if (FinalOutcome == Outcome::Unknown)
    ++m_Counters.m_UnknownOutcomes;
  if (Pending.m_CallerConnected)
    m_Commands->emplace_back(std::move(Answer));
  finish(Index, FinalOutcome);
}

void EntryCore::Impl::answerNotCompleted(SubmissionIndex Index,
                                         Outcome FinalOutcome,
                                         RefusalReason Reason,
                                         std::string Detail) {
  const Submission &Pending = m_Submissions[Index];
  if (!Pending.isJob()) {
    AnswerRequest Answer;
    Answer.m_Outcome = FinalOutcome;
    Answer.m_Reason = Reason;
    Answer.m_Detail = std::move(Detail);
    return answerRequest(Index, std::move(Answer));
  }
  if (FinalOutcome == Outcome::NotRun)
    m_OutcomeLog.countRefusal(Reason);
  else if (Pending.m_CallerConnected && m_OutcomeLog.allowDetail())
    log("job-not-completed", {{"request", Pending.m_Request.toHex()},
                              {"service", m_Services[Pending.m_Service].m_Name},
                              {"outcome", std::string(toString(FinalOutcome))},
                              {"tasks", std::to_string(Pending.m_Tasks.size())},
                              {"done", std::to_string(Pending.m_TasksDone)},
                              {"detail", Detail}});
  if (Pending.m_CallerConnected)
    m_Commands->emplace_back(AnswerJob{Pending.m_Caller,
                                       Pending.m_Request,
                                       FinalOutcome,
                                       Reason,
                                       std::move(Detail),
                                       {}});
  finish(Index, FinalOutcome);
}

void EntryCore::Impl::jobTaskCompleted(SubmissionIndex Index,
                                       std::uint32_t TaskNumber,
                                       const TaskResult &Result) {
  Submission &Pending = m_Submissions[Index];
  if (Result.m_Outcome == Outcome::Failed) {
    Pending.m_MayHaveRun = true;
    return answerNotCompleted(Index, Outcome::Failed, RefusalReason::None,
                              "task " + std::to_string(TaskNumber) +
                                  " failed with status " +
                                  std::to_string(Result.m_HttpStatus));
  }
  Pending.m_Tasks[TaskNumber].m_Answer =
      TaskAnswer{Result.m_HttpStatus, Result.m_Body};
  if (++Pending.m_TasksDone < Pending.m_Tasks.size())
    return;
  AnswerJob Answer;
  Answer.m_Caller = Pending.m_Caller;
  Answer.m_Request = Pending.m_Request;
  Answer.m_Tasks.reserve(Pending.m_Tasks.size());
  for (Task &Each : Pending.m_Tasks)
    Answer.m_Tasks.push_back(std::move(Each.m_Answer));
  m_Commands->emplace_back(std::move(Answer));
  finish(Index, Outcome::Completed);
}

bool EntryCore::Impl::started(const Submission &Pending) {
  return Pending.m_MayHaveRun || Pending.m_TasksDone > 0 ||
         Pending.m_TasksOutstanding > 0;
}

void EntryCore::Impl::refusePermanently(SubmissionIndex Index,
                                        RefusalReason Reason,
                                        std::string Detail) {
  const Submission &Pending = m_Submissions[Index];
  if (!started(Pending))
    return answerNotCompleted(Index, Outcome::NotRun, Reason,
                              std::move(Detail));
  const Outcome FinalOutcome =
      Pending.isJob() ? Outcome::Failed : Outcome::Unknown;
  answerNotCompleted(Index, FinalOutcome, RefusalReason::None,
                     std::move(Detail));
}

void EntryCore::Impl::cancel(SubmissionIndex Index, std::string Detail) {
  const bool Started = started(m_Submissions[Index]);
  answerNotCompleted(Index, Started ? Outcome::Cancelled : Outcome::NotRun,
                     Started ? RefusalReason::None : RefusalReason::Cancelled,
                     std::move(Detail));
}

void EntryCore::Impl::deadlineReached(SubmissionIndex Index) {
  const bool Started = started(m_Submissions[Index]);
  refusePermanently(Index, RefusalReason::DeadlinePassed,
                    Started ? "the deadline passed before the answer"
                            : "the deadline passed before the start");
}

void EntryCore::Impl::finish(SubmissionIndex Index, Outcome FinalOutcome) {
  Submission &Done = m_Submissions[Index];
  m_Services[Done.m_Service].m_Queue.remove(Index);
  orphanAttempts(Done);
  m_Timers.cancel(Done.m_DeadlineTimer);
  m_Timers.cancel(Done.m_HedgeTimer);
  releaseKey(Done, FinalOutcome);
  endSpan(Done.m_Trace, Done.m_SpanId, "entry", std::string(), Done.m_ArrivedAt,
          FinalOutcome != Outcome::Completed);
  m_Submissions.remove(Index);
}

void EntryCore::Impl::releaseKey(Submission &Done, Outcome FinalOutcome) {
  if (Done.m_Key == 0)
    return;
  if (FinalOutcome == Outcome::NotRun)
    m_Keys.erase(Done.m_Key);
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
      m_Timers.add(m_Now + OrphanTimeout, TimerKind::Orphan, Index);
  AgentRow &Row = m_Rows[Open.m_Agent];
  if (std::exchange(Row.m_LastCancelNumber, CancelNumber) == CancelNumber)
    return;
  sendToAgent(Row, CancelTasks{Open.m_Request});
}

} // namespace cyclamencroft
