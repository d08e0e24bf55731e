// An endpoint: announces itself to its agent and runs tasks as their bodies
// say.
#pragma once

#include "EventQueue.h"
#include "agent/AgentEvents.h"

#include <functional>
#include <map>
#include <string>

namespace cyclamencroft::session {

/// How a task behaves; travels in its body.
struct TaskScript {
  std::string m_Name;
  Duration m_RunTime{std::chrono::milliseconds(100)};
  /// "ok", "fail", "lost" (connection lost at the end of the run), "hang" (no
  /// answer before the deadline).
  std::string m_Mode = "ok";

  std::string toBody() const;
  static TaskScript fromBody(const std::string &Body);
};

class FakeEndpoint {
public:
  using Report = std::function<void(const RunEnded &)>;

  FakeEndpoint(EventQueue &Events, EndpointAnnounced Announcement,
               Report OnRunEnded)
      : m_Events(Events), m_Announcement(std::move(Announcement)),
        m_OnRunEnded(std::move(OnRunEnded)) {}

  const EndpointAnnounced &announcement() const { return m_Announcement; }

  /// A dead endpoint refuses connections; its runs lose theirs.
  void kill();
  void revive() { m_Alive = true; }
  bool alive() const { return m_Alive; }

  /// Every run takes this many times longer; a straggler.
  void setSlowness(std::uint32_t Factor) { m_Slowness = Factor; }
  /// Every run fails at once.
  void setBroken(bool Broken) { m_Broken = Broken; }

  /// False when the connection was refused and nothing started.
  /// \p TimeLeft is the time to the run's deadline.
  bool start(const StartRun &Run, Duration TimeLeft);
  void abort(RunId Run);
  /// The agent died: its connections close, so its runs end unheard.
  void forgetRuns() { m_Runs.clear(); }

  std::uint32_t running() const {
    return static_cast<std::uint32_t>(m_Runs.size());
  }

private:
  void end(RunId Run, std::uint64_t Number, const RunEnded &Result);
  RunEnded resultOf(const StartRun &Run, const TaskScript &Task);

  EventQueue &m_Events;
  EndpointAnnounced m_Announcement;
  Report m_OnRunEnded;
  bool m_Alive = true;
  bool m_Broken = false;
  std::uint32_t m_Slowness = 1;
  /// Running tasks, each with a number that no later run has.
  std::map<RunId, std::uint64_t> m_Runs;
  std::uint64_t m_NextNumber = 1;
};

} // namespace cyclamencroft::session
