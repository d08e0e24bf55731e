// An endpoint: announces itself to its agent and runs tasks as described in
// their bodies.
#pragma once

#include "EventQueue.h"
#include "agent/AgentEvents.h"

#include <functional>
#include <map>
#include <string>

namespace cyclamencroft::session {

/// How a task behaves; travels in its body.
struct TaskBehavior {
  std::string m_Name;
  Duration m_RunTime{std::chrono::milliseconds(100)};
  /// "ok", "fail", "lost" (connection lost at the end of the run), "hang" (no
  /// answer before the deadline).
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

  /// A killed endpoint refuses connections; its runs lose theirs.
  void kill();
  void restart() { m_Alive = true; }
  bool alive() const { return m_Alive; }

  /// Every run takes this many times longer; a straggler.
  void setRunTimeFactor(std::uint32_t Factor) { m_RunTimeFactor = Factor; }
  /// Every run fails at once.
  void setFailEveryTask(bool FailEveryTask) { m_FailEveryTask = FailEveryTask; }

  /// False when the connection was refused and nothing started.
  /// \p TimeLeft is the time to the run's deadline.
  bool start(const StartRun &Run, Duration TimeLeft);
  void abort(RunId Run);
  /// The agent was killed: its connections close, so no run reports its end.
  void dropRuns() { m_Runs.clear(); }

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(m_Runs.size());
  }

private:
  void end(RunId Run, std::uint64_t Number, const RunEnded &Result);
  RunEnded resultOf(const StartRun &Run, const TaskBehavior &Task);

  EventQueue &m_Events;
  EndpointAnnounced m_Announcement;
  RunEndedCallback m_OnRunEnded;
  bool m_Alive = true;
  bool m_FailEveryTask = false;
  std::uint32_t m_RunTimeFactor = 1;
  /// Running tasks, each with a number that no later run has.
  std::map<RunId, std::uint64_t> m_Runs;
  std::uint64_t m_NextNumber = 1;
};

} // namespace cyclamencroft::session
