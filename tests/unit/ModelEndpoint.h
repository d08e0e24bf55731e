// Endpoint of the fleet model: executes runs for their true run times, answers
// the calls of its agent, and can be replaced by an endpoint with other labels.
#pragma once

#include "runs/RunEvents.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamencroft {

class ModelEndpoint {
public:
  explicit ModelEndpoint(std::uint32_t Cores) : m_Cores(Cores) {}

  EndpointHeartbeat heartbeat(TimePoint Now);
  std::uint64_t startedAtMs() const { return m_StartedAtMs; }
  /// Ends the process; the next heartbeat is that of another endpoint.
  void replace(std::vector<std::string> Labels);
  /// Other speed and type of the worker; runs take their run time over \p
  /// Speed.
  void setSpeed(double Speed, std::string WorkerType);
  Duration runTimeOf(Duration AtFullSpeed) const;
  bool hasLabel(const std::string &Label) const;

  void start(const CallStart &Call, TimePoint EndsAt);
  void stop(const CallStop &Call);
  /// Answered by takeHoldAnswer() when a run ends or the wait is over.
  void hold(const CallHold &Call, TimePoint Now);

  /// Ends the runs whose time has come and returns the answer to the pending
  /// hold call if it is due.
  std::optional<HoldAnswered> takeHoldAnswer(TimePoint Now);

  static EndpointMs clock(TimePoint Now) {
    return Now.time_since_epoch() / std::chrono::milliseconds(1);
  }

private:
  void end(const RunName &Run, RunEnd End);

  const std::uint32_t m_Cores;
  std::vector<std::string> m_Labels;
  std::string m_WorkerType;
  double m_Speed = 1;
  /// Unix milliseconds of the start of the present process.
  std::uint64_t m_StartedAtMs = 1000;
  std::uint64_t m_Heartbeats = 0;
  std::map<RunName, TimePoint> m_Running;
  std::vector<EndedRun> m_Ended;
  std::uint64_t m_LastEnd = 0;
  std::optional<CallHold> m_Hold;
  TimePoint m_HoldExpiresAt{};
};

} // namespace cyclamencroft
