// A simulated deployment on virtual time: entries, agents, endpoints and
// callers.
#pragma once

#include "AgentNode.h"
#include "EntryNode.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft::session {

/// Size, latencies and failure domains of a deployment.
struct SessionLayout {
  Duration m_Latency{};
  Duration m_ClientLatency{};
  std::vector<std::string> m_FailureDomains;
  std::string m_Service;
  std::uint32_t m_Entries = 2;
  std::uint32_t m_Workers = 11;
  std::uint32_t m_Slots = 8;
  std::uint32_t m_Connections = 64;
  Size m_WorkerSize;
  std::uint64_t m_Seed = 1;

  /// Régie des Eaux de Cornouaille: permit desk, 0.5 ms between domains.
  static SessionLayout eaux();
  /// Cooperativa Salgema del Norte: refill dispatch, 0.9 ms between domains.
  static SessionLayout salgema();
};

/// A request or job to submit.
struct SubmissionOptions {
  std::string m_Name;
  std::string m_Entry;
  TaskBehavior m_Task;
  /// 0 for a single request.
  std::uint32_t m_JobTasks = 0;
  bool m_NonIdempotent = false;
  std::string m_Key;
  std::string m_Team;
  Duration m_Deadline{};
  Size m_Need;
  /// Name of an earlier submission whose request id this one reuses.
  std::string m_ReuseIdOf;
  bool m_MustComplete = false;
};

class Session {
public:
  explicit Session(SessionLayout Layout);

  /// Runs all events and timers that are due up to \p Until.
  void run(Duration Until);
  /// Calls \p OnDue at \p DueAt.
  void at(Duration DueAt, EventQueue::Callback OnDue);

  void submit(const SubmissionOptions &Options);
  void cancel(const std::string &Submission);
  void disconnectCaller(const std::string &Submission);

  /// Publishes a new configuration version and passes it to \p Entry.
  void publish(const std::string &Preset, const std::string &Entry);
  /// Passes an earlier version to \p Entry again.
  void offerVersion(ConfigVersion Version, const std::string &Entry);

  /// Operations on the entry ("e1") or agent ("w1") \p Name.
  void kill(const std::string &Name);
  void restart(const std::string &Name);
  void freeze(const std::string &Name);
  void thaw(const std::string &Name);
  void shutDown(const std::string &Name);

  // Operations on the endpoint of an agent.
  void endpointLeaves(const std::string &Agent);
  void endpointReturns(const std::string &Agent);
  /// Ends the endpoint; stopAnnouncing() only lets its lease expire.
  void killEndpoint(const std::string &Agent);
  void stopAnnouncing(const std::string &Agent);
  void setRunTimeFactor(const std::string &Agent, std::uint32_t Factor);
  void setFailEveryTask(const std::string &Agent, bool FailEveryTask);

  FakeNetwork &network() { return m_Context->m_Network; }
  Transcript &transcript() { return m_Context->m_Transcript; }
  InvariantChecker &checker() { return m_Context->m_Checker; }
  const SessionLayout &layout() const { return m_Layout; }
  Duration now() const { return m_Context->m_Events.now(); }
  /// Adds a line of the session itself to the transcript.
  void note(const std::string &Text);

  /// Ends all faults but slow endpoints: restores paths, releases held
  /// messages, thaws processes and restarts processes and endpoints.
  void endFaults();
  /// Checks at the end of a session without active faults that all callers were
  /// answered and all processes have the newest configuration.
  void checkFinalState();

private:
  struct WorkerRecord {
    std::unique_ptr<FakeEndpoint> m_Endpoint;
    AgentNode *m_Agent = nullptr;
    bool m_Announces = true;
  };
  struct CallerRecord {
    CallerId m_Id{};
    RequestId m_Request;
    std::string m_Entry;
  };

  void startEntry(const std::string &Name);
  void startAgent(const std::string &Name);
  void addWorker(std::uint32_t Number);
  void announce(const std::string &Agent);
  void deliver(const SubmissionOptions &Options, const CallerRecord &Record);
  SessionNode &node(const std::string &Name);
  SessionNode *nextNodeDue(Duration &DueAt);
  Duration nextClockOffset();

  SessionLayout m_Layout;
  std::unique_ptr<SessionContext> m_Context;
  std::vector<std::string> m_EntryNames;
  std::map<std::string, EntryNode *> m_Entries;
  std::map<std::string, WorkerRecord> m_Workers;
  std::map<std::string, CallerRecord> m_Callers;
  /// All processes, including ended ones: scheduled events may refer to them.
  std::vector<std::unique_ptr<SessionNode>> m_Nodes;
  std::uint64_t m_NextIncarnation = 1;
  std::uint64_t m_NextCaller = 1;
};

} // namespace cyclamencroft::session
