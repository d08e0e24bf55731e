// Test harness for the core of a run agent: simulates the clock, the answers of
// an endpoint and one entry.
#pragma once

#include "runs/RunnerCore.h"

#include <string>
#include <vector>

namespace cyclamencroft {

class RunnerHarness {
public:
  static constexpr LinkId Link{7};
  static constexpr Incarnation Entry{70};

  RunnerHarness();

  /// Probes of announced processes are answered at once, by the announced
  /// process unless leaveProbesUnanswered() was called.
  void feed(const RunnerEvent &Event);
  void leaveProbesUnanswered() { m_AnswersProbes = false; }
  /// Answers the latest probe.
  void answerProbe(CallFault Fault, std::uint64_t StartedAtMs = 0);
  void advance(Duration Step);
  /// Advances the clock by \p Time and sends a Tick at each requested wakeup.
  void runFor(Duration Time);

  /// Announces an endpoint of ten cores and answers the first hold call.
  void bringUp(std::uint64_t StartedAtMs = 1000);
  EndpointHeartbeat
  heartbeat(std::uint64_t StartedAtMs, std::uint64_t Sequence,
            EndpointState State = EndpointState::Active) const;
  void openLink(LinkId Opened = Link, Incarnation Id = Entry);
  /// Answers the agent's hello on an open link.
  void answerHello(LinkId Opened, Incarnation Id);
  void sendLease(LinkId From = Link);
  /// Sends a start that was placed on the endpoint that the agent reported
  /// last.
  void startTask(const RunName &Run, std::uint32_t Cores = 1);
  void answerStart(const RunName &Run,
                   StartResult Result = StartResult::Started);
  void startAndAnswer(const RunName &Run, std::uint32_t Cores = 1);
  /// Answers the pending hold call.
  void answerHold(std::vector<RunName> Running,
                  std::vector<EndedRun> Ended = {});
  void failHold(CallFault Fault);
  /// Leaves hold calls unanswered until the endpoint counts as unresponsive.
  void letHoldsTimeOut();

  /// Commands and messages since the last clearCommands().
  template <class T> std::vector<T> commands() const {
    std::vector<T> Found;
    for (const RunnerCommand &Each : m_Commands)
      if (const auto *Match = std::get_if<T>(&Each))
        Found.push_back(*Match);
    return Found;
  }
  template <class T> std::vector<T> messages() const {
    std::vector<T> Found;
    for (const SendMessage &Each : commands<SendMessage>())
      if (const auto *Match = std::get_if<T>(&Each.m_Message))
        Found.push_back(*Match);
    return Found;
  }
  /// The only end that was reported; the test fails unless there is just one.
  TaskEnded onlyEnd() const;
  void clearCommands() { m_Commands.clear(); }

  TimePoint now() const { return m_Now; }
  /// Generation of the endpoint that the agent reported last.
  EndpointGeneration generation() const { return m_Generation; }
  RunnerCore &core() { return m_Core; }

private:
  void record(const RunnerCommand &Command);

  RunnerCore m_Core;
  TimePoint m_Now{std::chrono::hours(1)};
  std::vector<RunnerCommand> m_Commands;
  /// Number of the latest hold call; 0 for none.
  std::uint64_t m_LatestHold = 0;
  std::uint64_t m_StartedAtMs = 0;
  bool m_AnswersProbes = true;
  EndpointGeneration m_Generation{};
};

/// Run \p Number of task \p Index of a job.
RunName runNamed(std::uint32_t Index, std::uint32_t Number = 1);

} // namespace cyclamencroft
