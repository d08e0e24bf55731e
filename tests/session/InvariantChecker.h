// Checks the invariants of the design document during a session.
#pragma once

#include "agent/AgentEvents.h"
#include "entry/EntryEvents.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamencroft::session {

/// A request or job as its caller sent it.
struct Submission {
  std::string m_Name;
  RequestId m_Request;
  bool m_IsJob = false;
  bool m_NonIdempotent = false;
  std::vector<std::string> m_Bodies;
  std::string m_Entry;
  /// Submitted without active faults: any outcome but completion is a
  /// violation.
  bool m_MustComplete = false;
};

/// Body of the answer to a task with \p Body.
std::string answerBodyFor(const std::string &Body);

class InvariantChecker {
public:
  void recordSubmission(CallerId Caller, const Submission &Submitted);
  void expectNoAnswer(CallerId Caller);
  void expectNoAnswersFrom(const std::string &Entry);

  /// Checks the start of a task at an endpoint; \p Running includes that task.
  void checkStart(const std::string &Agent, const StartRun &Run,
                  std::uint32_t Running, std::uint32_t MaxRunning);
  /// Any start at the agent is a violation until allowStarts().
  void forbidStarts(const std::string &Agent);
  void allowStarts(const std::string &Agent);

  void checkAnswer(const AnswerRequest &Answer);
  void checkAnswer(const AnswerJob &Answer);

  /// Checks that the version never decreases; \p Process is one incarnation.
  void checkConfigVersion(const std::string &Process, ConfigVersion Version);

  /// Checks that an entry that has drained answered all its callers.
  void checkDrained(const std::string &Entry);

  /// Checks at the end that every caller that expects an answer received one.
  void checkAllAnswered();

  void addViolation(const std::string &Description);
  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  Submission *checkAnsweredOnce(CallerId Caller, const RequestId &Request);
  std::uint32_t startCount(const RequestId &Request) const;
  void checkNotRun(const Submission &Submitted, Outcome Result);
  void checkCompletes(const Submission &Submitted, Outcome Result);

  std::map<CallerId, Submission> m_Submissions;
  std::map<RequestId, CallerId> m_Callers;
  std::set<CallerId> m_Answered;
  /// Callers that disconnected or whose entry was killed.
  std::set<CallerId> m_NoAnswerExpected;
  /// Requests reported as not run.
  std::set<RequestId> m_NotRun;
  std::map<std::pair<RequestId, std::uint32_t>, std::uint32_t> m_Starts;
  std::set<std::string> m_StartsForbidden;
  std::map<std::string, ConfigVersion> m_Versions;
  std::vector<std::string> m_Violations;
};

} // namespace cyclamencroft::session
