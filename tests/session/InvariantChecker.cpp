// Each check names the invariant of the design page that it stands for.
#include "InvariantChecker.h"

namespace cyclamencroft::session {

std::string answerTo(const std::string &Body) { return "done:" + Body; }

void InvariantChecker::submitted(CallerId Caller, const Submission &What) {
  m_Submissions[Caller] = What;
  m_Callers.emplace(What.m_Request, Caller);
}

void InvariantChecker::released(CallerId Caller) { m_Released.insert(Caller); }

void InvariantChecker::releasedAt(const std::string &Entry) {
  for (auto &[Caller, What] : m_Submissions)
    if (What.m_Entry == Entry)
      m_Released.insert(Caller);
}

void InvariantChecker::started(const std::string &Agent, const StartRun &Run,
                               std::uint32_t Running, std::uint32_t Limit) {
  const auto Caller = m_Callers.find(Run.m_Request);
  if (Caller == m_Callers.end()) {
    fail("a task of an unknown request started at " + Agent);
    return;
  }
  const Submission &What = m_Submissions.at(Caller->second);
  const std::string Task = What.m_Name + "/" + std::to_string(Run.m_TaskIndex);
  const std::uint32_t Starts = ++m_Starts[{Run.m_Request, Run.m_TaskIndex}];
  if (Starts > 1 && What.m_IsJob)
    fail("invariant 1: task " + Task + " started twice, now at " + Agent);
  if (Starts > 1 && What.m_NonIdempotent)
    fail("invariant 5: non-idempotent " + Task + " started twice, now at " +
         Agent);
  if (m_NotRun.count(Run.m_Request))
    fail("invariant 4: " + Task + " started after the answer \"not run\"");
  if (Run.m_TaskIndex >= What.m_Bodies.size() ||
      bytesOf(Run.m_Body) != What.m_Bodies[Run.m_TaskIndex])
    fail("invariant 3: " + Task + " started with another body");
  if (Running > Limit)
    fail("slots: " + Agent + " runs " + std::to_string(Running) + " of " +
         std::to_string(Limit));
  if (m_Closed.count(Agent))
    fail("invariant 6: " + Agent + " started " + Task + " while leaving");
}

void InvariantChecker::closed(const std::string &Agent) {
  m_Closed.insert(Agent);
}

void InvariantChecker::opened(const std::string &Agent) {
  m_Closed.erase(Agent);
}

Submission *InvariantChecker::answeredOnce(CallerId Caller,
                                           const RequestId &Request) {
  const auto Found = m_Submissions.find(Caller);
  if (Found == m_Submissions.end()) {
    fail("invariant 3: an unknown caller was answered");
    return nullptr;
  }
  if (Found->second.m_Request != Request)
    fail("invariant 3: " + Found->second.m_Name + " got another's answer");
  if (!m_Answered.insert(Caller).second)
    fail("invariant 3: " + Found->second.m_Name + " was answered twice");
  return &Found->second;
}

std::uint32_t InvariantChecker::startsOf(const RequestId &Request) const {
  std::uint32_t Starts = 0;
  for (auto Task = m_Starts.lower_bound({Request, 0});
       Task != m_Starts.end() && Task->first.first == Request; ++Task)
    Starts += Task->second;
  return Starts;
}

void InvariantChecker::checkNotRun(const Submission &What, Outcome End) {
  if (End != Outcome::NotRun)
    return;
  // A second submission under the same id is refused without touching the
  // first, which may have run.
  const auto First = m_Callers.find(What.m_Request);
  if (m_Submissions.at(First->second).m_Name != What.m_Name)
    return;
  m_NotRun.insert(What.m_Request);
  if (startsOf(What.m_Request) > 0)
    fail("invariant 4: " + What.m_Name + " was answered \"not run\" but ran");
}

void InvariantChecker::checkCompletes(const Submission &What, Outcome End) {
  if (What.m_MustComplete && End != Outcome::Completed)
    fail("progress: " + What.m_Name + " ended as " +
         std::string(toString(End)) + " although nothing is disturbed");
}

void InvariantChecker::answered(const AnswerRequest &Answer) {
  const Submission *What = answeredOnce(Answer.m_Caller, Answer.m_Request);
  if (!What)
    return;
  checkNotRun(*What, Answer.m_Outcome);
  checkCompletes(*What, Answer.m_Outcome);
  if (Answer.m_Outcome == Outcome::Completed &&
      bytesOf(Answer.m_Body) != answerTo(What->m_Bodies.front()))
    fail("invariant 3: " + What->m_Name + " got a wrong body");
}

void InvariantChecker::answered(const AnswerJob &Answer) {
  const Submission *What = answeredOnce(Answer.m_Caller, Answer.m_Request);
  if (!What)
    return;
  checkNotRun(*What, Answer.m_Outcome);
  checkCompletes(*What, Answer.m_Outcome);
  if (Answer.m_Outcome != Outcome::Completed) {
    if (!Answer.m_Tasks.empty())
      fail("invariant 2: " + What->m_Name + " failed with a partial answer");
    return;
  }
  if (Answer.m_Tasks.size() != What->m_Bodies.size()) {
    fail("invariant 2: " + What->m_Name + " is complete without every task");
    return;
  }
  for (std::size_t I = 0; I < What->m_Bodies.size(); ++I)
    if (bytesOf(Answer.m_Tasks[I].m_Body) != answerTo(What->m_Bodies[I]))
      fail("invariant 3: " + What->m_Name + "/" + std::to_string(I) +
           " got a wrong body");
}

void InvariantChecker::configVersion(const std::string &Process,
                                     ConfigVersion Version) {
  ConfigVersion &Known = m_Versions[Process];
  if (Version < Known)
    fail("invariant 8: " + Process + " went back from version " +
         std::to_string(Known) + " to " + std::to_string(Version));
  Known = std::max(Known, Version);
}

void InvariantChecker::drained(const std::string &Entry) {
  for (const auto &[Caller, What] : m_Submissions)
    if (What.m_Entry == Entry && !m_Released.count(Caller) &&
        !m_Answered.count(Caller))
      fail("invariant 7: " + Entry + " ended its shutdown without answering " +
           What.m_Name);
}

void InvariantChecker::finish() {
  for (const auto &[Caller, What] : m_Submissions)
    if (!m_Released.count(Caller) && !m_Answered.count(Caller))
      fail("invariant 3: " + What.m_Name + " was never answered");
}

void InvariantChecker::fail(const std::string &What) {
  m_Violations.push_back(What);
}

} // namespace cyclamencroft::session
