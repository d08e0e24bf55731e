// Test harness that drives the scheduler of an entry with a simulated clock,
// callers and agents.
#pragma once

#include "jobs/JobCore.h"
#include "runs/EndpointMeter.h"

#include <string>
#include <vector>

namespace cyclamencroft {

class JobHarness {
public:
  JobHarness();

  void feed(const JobEvent &Event);
  void advance(Duration Step);
  /// Advances the clock by \p Time and sends a Tick at each wakeup of the core.
  void runFor(Duration Time);

  /// Connects an agent whose endpoint has \p Cores; its link id is \p Number.
  void connectAgent(std::uint64_t Number, std::uint32_t Cores = 10,
                    Incarnation AgentIncarnation = Incarnation{1});
  RunnerHello hello(std::uint64_t Number, std::uint32_t Cores,
                    Incarnation AgentIncarnation) const;

  /// A job of one step; each task takes \p Cores of one worker.
  JobOffered offer(std::uint64_t Job, std::uint32_t Tasks,
                   Duration Estimate = std::chrono::milliseconds(100),
                   std::uint32_t Cores = 1);

  /// Runs sent to an agent that have not ended yet, in the order of sending.
  std::vector<RunName> runsAt(std::uint64_t Agent) const;
  std::vector<RunName> allRuns() const;
  /// Reports the end of a run, and the load of the agent's remaining runs.
  void endRun(std::uint64_t Agent, const RunName &Run,
              RunEnd End = RunEnd::Done,
              StartRefusal Refusal = StartRefusal::None);
  /// Ends each open run of every agent as done.
  void endAll();
  /// Reports the load of the agent, which also answers pending leases and
  /// starts.
  void reportLoad(std::uint64_t Agent);
  /// As reportLoad(), with the given quality of the endpoint.
  void reportQuality(std::uint64_t Agent, EndpointQuality Quality);

  std::vector<JobAnswer> answers() const { return commands<JobAnswer>(); }
  template <class T> std::vector<T> commands() const {
    std::vector<T> Found;
    for (const JobCommand &Each : m_Commands)
      if (const auto *Match = std::get_if<T>(&Each))
        Found.push_back(*Match);
    return Found;
  }
  template <class T> std::vector<T> messagesTo(std::uint64_t Agent) const {
    std::vector<T> Found;
    for (const SendMessage &Each : commands<SendMessage>())
      if (const auto *Match = std::get_if<T>(&Each.m_Message))
        if (Each.m_Link == LinkId{Agent})
          Found.push_back(*Match);
    return Found;
  }
  void clearCommands() { m_Commands.clear(); }

  TimePoint now() const { return m_Now; }
  JobCore &core() { return m_Core; }
  /// Failure domain of the agents that connect next.
  std::string m_FailureDomain = "quimper";
  /// Policy of the jobs that are offered next.
  QueuePolicy m_Policy;

private:
  EndpointLoad loadOf(std::uint64_t Agent) const;

  JobCore m_Core;
  TimePoint m_Now{std::chrono::hours(1)};
  std::vector<JobCommand> m_Commands;
  std::uint64_t m_Callers = 0;
  struct OpenRun {
    std::uint64_t m_Agent;
    StartTask m_Start;
  };
  std::vector<OpenRun> m_OpenRuns;
  std::map<std::uint64_t, std::uint64_t> m_StartsReceived;
  /// Measurements that each agent takes of its endpoint.
  std::map<std::uint64_t, EndpointMeter> m_Meters;
};

} // namespace cyclamencroft
