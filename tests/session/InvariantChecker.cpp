// Each violation names the invariant of the design document that it breaks.
#include "InvariantChecker.h"

namespace cyclamencroft::session {

std::string answerBodyFor(const std::string &Body) { return "done:" + Body; }

void InvariantChecker::recordSubmission(CallerId Caller,
                                        const Submission &Submitted) {
  m_Submissions[Caller] = Submitted;
  m_Callers.emplace(Submitted.m_Request, Caller);
}

void InvariantChecker::expectNoAnswer(CallerId Caller) {
  m_NoAnswerExpected.insert(Caller);
}

void InvariantChecker::expectNoAnswersFrom(const std::string &Entry) {
  for (auto &[Caller, Submitted] : m_Submissions)
    if (Submitted.m_Entry == Entry)
      m_NoAnswerExpected.insert(Caller);
}

void InvariantChecker::checkStart(const std::string &Agent, const StartRun &Run,
                                  std::uint32_t Running,
                                  std::uint32_t MaxRunning) {
  const auto Caller = m_Callers.find(Run.m_Request);
  if (Caller == m_Callers.end()) {
    addViolation("a task of an unknown request started at " + Agent);
    return;
  }
  const Submission &Submitted = m_Submissions.at(Caller->second);
  const std::string Task =
      Submitted.m_Name + "/" + std::to_string(Run.m_TaskIndex);
  const std::uint32_t Starts = ++m_Starts[{Run.m_Request, Run.m_TaskIndex}];
  if (Starts > 1 && Submitted.m_IsJob)
    addViolation("invariant 1: task " + Task + " started twice, now at " +
                 Agent);
  if (Starts > 1 && Submitted.m_NonIdempotent)
    addViolation("invariant 5: non-idempotent " + Task +
                 " started twice, now at " + Agent);
  if (m_NotRun.count(Run.m_Request))
    addViolation("invariant 4: " + Task +
                 " started after the answer \"not run\"");
  if (Run.m_TaskIndex >= Submitted.m_Bodies.size() ||
      bytesOf(Run.m_Body) != Submitted.m_Bodies[Run.m_TaskIndex])
    addViolation("invariant 3: " + Task +
                 " started with a body other than the submitted one");
  if (Running > MaxRunning)
    addViolation("slots: " + Agent + " runs " + std::to_string(Running) +
                 " tasks, its limit is " + std::to_string(MaxRunning));
  if (m_StartsForbidden.count(Agent))
    addViolation("invariant 6: " + Agent + " started " + Task +
                 " while draining");
}

void InvariantChecker::forbidStarts(const std::string &Agent) {
  m_StartsForbidden.insert(Agent);
}

void InvariantChecker::allowStarts(const std::string &Agent) {
  m_StartsForbidden.erase(Agent);
}

Submission *InvariantChecker::checkAnsweredOnce(CallerId Caller,
                                                const RequestId &Request) {
  const auto Found = m_Submissions.find(Caller);
  if (Found == m_Submissions.end()) {
    addViolation("invariant 3: an unknown caller was answered");
    return nullptr;
  }
  if (Found->second.m_Request != Request)
    addViolation("invariant 3: " + Found->second.m_Name +
                 " received the answer to another request");
  if (!m_Answered.insert(Caller).second)
    addViolation("invariant 3: " + Found->second.m_Name +
                 " was answered twice");
  return &Found->second;
}

std::uint32_t InvariantChecker::startCount(const RequestId &Request) const {
  std::uint32_t Starts = 0;
  for (auto Task = m_Starts.lower_bound({Request, 0});
       Task != m_Starts.end() && Task->first.first == Request; ++Task)
    Starts += Task->second;
  return Starts;
}

void InvariantChecker::checkNotRun(const Submission &Submitted,
                                   Outcome Result) {
  if (Result != Outcome::NotRun)
    return;
  // A second submission with the same request id is refused; the first one may
  // have run.
  const auto First = m_Callers.find(Submitted.m_Request);
  if (m_Submissions.at(First->second).m_Name != Submitted.m_Name)
    return;
  m_NotRun.insert(Submitted.m_Request);
  if (startCount(Submitted.m_Request) > 0)
    addViolation("invariant 4: " + Submitted.m_Name +
                 " was answered \"not run\" but ran");
}

void InvariantChecker::checkCompletes(const Submission &Submitted,
                                      Outcome Result) {
  if (Submitted.m_MustComplete && Result != Outcome::Completed)
    addViolation("progress: " + Submitted.m_Name + " ended as " +
                 std::string(toString(Result)) +
                 " although no fault was active");
}

void InvariantChecker::checkAnswer(const AnswerRequest &Answer) {
  const Submission *Submitted =
      checkAnsweredOnce(Answer.m_Caller, Answer.m_Request);
  if (!Submitted)
    return;
  checkNotRun(*Submitted, Answer.m_Outcome);
  checkCompletes(*Submitted, Answer.m_Outcome);
  if (Answer.m_Outcome == Outcome::Completed &&
      bytesOf(Answer.m_Body) != answerBodyFor(Submitted->m_Bodies.front()))
    addViolation("invariant 3: " + Submitted->m_Name +
                 " received the wrong body");
}

void InvariantChecker::checkAnswer(const AnswerJob &Answer) {
  const Submission *Submitted =
      checkAnsweredOnce(Answer.m_Caller, Answer.m_Request);
  if (!Submitted)
    return;
  checkNotRun(*Submitted, Answer.m_Outcome);
  checkCompletes(*Submitted, Answer.m_Outcome);
  if (Answer.m_Outcome != Outcome::Completed) {
    if (!Answer.m_Tasks.empty())
      addViolation("invariant 2: " + Submitted->m_Name +
                   " failed but received results of some tasks");
    return;
  }
  if (Answer.m_Tasks.size() != Submitted->m_Bodies.size()) {
    addViolation("invariant 2: " + Submitted->m_Name +
                 " completed without the results of all tasks");
    return;
  }
  for (std::size_t I = 0; I < Submitted->m_Bodies.size(); ++I)
    if (bytesOf(Answer.m_Tasks[I].m_Body) !=
        answerBodyFor(Submitted->m_Bodies[I]))
      addViolation("invariant 3: " + Submitted->m_Name + "/" +
                   std::to_string(I) + " received the wrong body");
}

void InvariantChecker::checkConfigVersion(const std::string &Process,
                                          ConfigVersion Version) {
  ConfigVersion &HighestSeen = m_Versions[Process];
  if (Version < HighestSeen)
    addViolation("invariant 8: " + Process + " went back from version " +
                 std::to_string(HighestSeen) + " to " +
                 std::to_string(Version));
  HighestSeen = std::max(HighestSeen, Version);
}

void InvariantChecker::checkDrained(const std::string &Entry) {
  for (const auto &[Caller, Submitted] : m_Submissions)
    if (Submitted.m_Entry == Entry && !m_NoAnswerExpected.count(Caller) &&
        !m_Answered.count(Caller))
      addViolation("invariant 7: " + Entry +
                   " finished shutting down without answering " +
                   Submitted.m_Name);
}

void InvariantChecker::checkAllAnswered() {
  for (const auto &[Caller, Submitted] : m_Submissions)
    if (!m_NoAnswerExpected.count(Caller) && !m_Answered.count(Caller))
      addViolation("invariant 3: " + Submitted.m_Name + " was never answered");
}

void InvariantChecker::addViolation(const std::string &Description) {
  m_Violations.push_back(Description);
}

} // namespace cyclamencroft::session
