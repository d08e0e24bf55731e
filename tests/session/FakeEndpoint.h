// Simulated endpoint. Runs tasks as their bodies describe, on virtual time.
#pragma once

#include "EventQueue.h"
#include "agent/AgentEvents.h"

#include <functional>
#include <map>
#include <string>

namespace cyclamencroft::session {

/// Behaviour of a task at the endpoint, encoded in its body.
struct TaskBehavior {
  std::string m_Name;
  Duration m_RunTime{std::chrono::milliseconds(100)};
  /// "ok", "fail", "lost" (the connection is lost at the end of the run) or
  /// "hang" (no answer before the deadline).
  std::string m_Mode = "ok";

  std::string toBody() const;
  static TaskBehavior fromBody(const std::string &Body);
};

class FakeEndpoint {
public:
  using RunEndedCallback = std::function<void(const RunEnded &)>;

  FakeEndpoint(EventQueue &Events, EndpointAnnounced Announcement,
               RunEndedCallback OnRunEnded)
      : m_Events(Events), m_Announcement(std::move(Announcement)),
        m_OnRunEnded(std::move(OnRunEnded)) {}

  const EndpointAnnounced &announcement() const { return m_Announcement; }

  /// Ends the endpoint: it refuses connections, and its runs end as unknown.
  void kill();
  void restart() { m_Alive = true; }
  bool alive() const { return m_Alive; }

  /// Multiplies the run time of all later tasks, to make this endpoint a
  /// straggler.
  void setRunTimeFactor(std::uint32_t Factor) { m_RunTimeFactor = Factor; }
  /// Makes later tasks fail after 1 ms, except in the modes "lost" and "hang".
  void setFailEveryTask(bool FailEveryTask) { m_FailEveryTask = FailEveryTask; }

  /// Starts a run with \p TimeLeft until its deadline. False when the
  /// connection was refused and nothing started.
  bool start(const StartRun &Run, Duration TimeLeft);
  void abort(RunId Run);
  /// Drops all runs without a report: the agent was killed and its connections
  /// closed.
  void dropRuns() { m_Runs.clear(); }

  std::uint32_t runningCount() const {
    return static_cast<std::uint32_t>(m_Runs.size());
  }

private:
  void endRun(RunId Run, std::uint64_t RunNumber, const RunEnded &Result);
  RunEnded resultOf(const StartRun &Run, const TaskBehavior &Task);

  EventQueue &m_Events;
  EndpointAnnounced m_Announcement;
  RunEndedCallback m_OnRunEnded;
  bool m_Alive = true;
  bool m_FailEveryTask = false;
  std::uint32_t m_RunTimeFactor = 1;
  /// Active runs, each with a number that no later run has.
  std::map<RunId, std::uint64_t> m_Runs;
  std::uint64_t m_NextRunNumber = 1;
};

} // namespace cyclamencroft::session
