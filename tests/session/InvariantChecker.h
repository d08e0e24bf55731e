// Checks the invariants of the design page during a session.
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
  /// No fault is active, so any outcome but completion is a violation.
  bool m_MustComplete = false;
};

/// Body with which an endpoint answers a task.
std::string answerTo(const std::string &Body);

class InvariantChecker {
public:
  void submitted(CallerId Caller, const Submission &Submitted);
  void expectNoAnswer(CallerId Caller);
  void expectNoAnswersFrom(const std::string &Entry);

  /// The endpoint received a task. \p Running includes it.
  void started(const std::string &Agent, const StartRun &Run,
               std::uint32_t Running, std::uint32_t Limit);
  /// The agent may start no task until allowStarts().
  void forbidStarts(const std::string &Agent);
  void allowStarts(const std::string &Agent);

  void answered(const AnswerRequest &Answer);
  void answered(const AnswerJob &Answer);

  /// Version that a process reports; \p Process names one incarnation.
  void configVersion(const std::string &Process, ConfigVersion Version);

  /// An entry reports that everything in flight has ended.
  void drained(const std::string &Entry);

  /// At the end: every caller that expects an answer must have one.
  void finish();

  void fail(const std::string &Submitted);
  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  Submission *checkAnsweredOnce(CallerId Caller, const RequestId &Request);
  std::uint32_t startsOf(const RequestId &Request) const;
  void checkNotRun(const Submission &Submitted, Outcome Result);
  void checkCompletes(const Submission &Submitted, Outcome Result);

  std::map<CallerId, Submission> m_Submissions;
  std::map<RequestId, CallerId> m_Callers;
  std::set<CallerId> m_Answered;
  /// The entry was killed or the caller disconnected.
  std::set<CallerId> m_NoAnswerExpected;
  /// Requests reported as not run.
  std::set<RequestId> m_NotRun;
  std::map<std::pair<RequestId, std::uint32_t>, std::uint32_t> m_Starts;
  std::set<std::string> m_StartsForbidden;
  std::map<std::string, ConfigVersion> m_Versions;
  std::vector<std::string> m_Violations;
};

} // namespace cyclamencroft::session
