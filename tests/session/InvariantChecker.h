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
  /// Nothing is disturbed any more, so any other outcome is a fault.
  bool m_MustComplete = false;
};

/// Body with which an endpoint answers a task.
std::string answerTo(const std::string &Body);

class InvariantChecker {
public:
  void submitted(CallerId Caller, const Submission &What);
  void released(CallerId Caller);
  void releasedAt(const std::string &Entry);

  /// The endpoint received a task. \p Running includes it.
  void started(const std::string &Agent, const StartRun &Run,
               std::uint32_t Running, std::uint32_t Limit);
  /// From here on the agent may start nothing.
  void closed(const std::string &Agent);
  void opened(const std::string &Agent);

  void answered(const AnswerRequest &Answer);
  void answered(const AnswerJob &Answer);

  /// Version that a process reports; \p Process names one incarnation.
  void configVersion(const std::string &Process, ConfigVersion Version);

  /// An entry says that everything in flight has ended.
  void drained(const std::string &Entry);

  /// At the end: every caller that is owed an answer must have one.
  void finish();

  void fail(const std::string &What);
  const std::vector<std::string> &violations() const { return m_Violations; }

private:
  Submission *answeredOnce(CallerId Caller, const RequestId &Request);
  std::uint32_t startsOf(const RequestId &Request) const;
  void checkNotRun(const Submission &What, Outcome End);
  void checkCompletes(const Submission &What, Outcome End);

  std::map<CallerId, Submission> m_Submissions;
  std::map<RequestId, CallerId> m_Callers;
  std::set<CallerId> m_Answered;
  /// The entry died or the caller left, so no answer is owed.
  std::set<CallerId> m_Released;
  /// Requests reported as not run.
  std::set<RequestId> m_NotRun;
  std::map<std::pair<RequestId, std::uint32_t>, std::uint32_t> m_Starts;
  std::set<std::string> m_Closed;
  std::map<std::string, ConfigVersion> m_Versions;
  std::vector<std::string> m_Violations;
};

} // namespace cyclamencroft::session
