// Model of a fleet for tests of decisions under load: the real cores of several
// entries and agents, endpoints that execute runs, and messages that take a
// fixed time. Everything runs in simulated time, without a network.
#pragma once

#include "ModelEndpoint.h"

#include "jobs/JobCore.h"
#include "runs/RunnerCore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft {

class FleetModel {
public:
  /// Every agent is connected to every entry.
  FleetModel(std::size_t Entries, std::size_t Endpoints, std::uint32_t Cores);

  /// A job whose tasks take exactly their estimate, offered to one entry.
  struct Job {
    std::uint32_t m_Tasks = 1;
    std::uint32_t m_CoresPerTask = 1;
    Duration m_RunTime{};
    std::uint32_t m_Priority = 0;
    /// Empty when every endpoint may run the tasks.
    std::string m_RequiredLabel;
  };
  void offer(std::size_t Entry, const Job &Offered);

  void runFor(Duration Time);

  /// Another endpoint with \p Labels announces itself to an agent, in place of
  /// the one that the agent had.
  void replaceEndpoint(std::size_t Index, std::vector<std::string> Labels);

  /// Gives the endpoint of an agent another speed and type of worker.
  void setSpeed(std::size_t Index, double Speed, std::string WorkerType);

  /// Time that messages sent from now on take.
  void setMessageDelay(Duration Delay) { m_MessageDelay = Delay; }

  /// Starts that were executed by an endpoint without the required label.
  std::uint64_t misroutedStarts() const { return m_MisroutedStarts; }

  /// Answers to the jobs of one priority. A job is on time when it is completed
  /// within its objective.
  struct Outcomes {
    std::uint64_t m_Offered = 0;
    std::uint64_t m_OnTime = 0;
    std::uint64_t m_Late = 0;
    std::uint64_t m_NotRun = 0;
    std::uint64_t m_GivenUp = 0;
  };
  const Outcomes &outcomes(std::uint32_t Priority) {
    return m_Outcomes[Priority];
  }

private:
  struct Agent {
    std::unique_ptr<RunnerCore> m_Core;
    ModelEndpoint m_Endpoint;
  };
  struct PendingJob {
    std::uint32_t m_Priority = 0;
    Duration m_RunTime{};
    TimePoint m_ObjectiveAt{};
    std::string m_RequiredLabel;
  };

  void feedEntry(std::size_t Entry, const JobEvent &Event);
  void feedAgent(std::size_t Index, const RunnerEvent &Event);
  void carryOut(std::size_t Entry, const JobCommand &Command);
  void carryOut(std::size_t Index, const RunnerCommand &Command);
  void execute(std::size_t Index, const CallStart &Start);
  void receive(std::size_t Entry, std::size_t From, const LinkMessage &Message);
  void recordAnswer(const JobAnswer &Answer);
  void after(Duration Delay, std::function<void()> Action);
  void step();

  TimePoint m_Now{std::chrono::hours(1)};
  Duration m_MessageDelay{std::chrono::milliseconds(1)};
  std::vector<std::unique_ptr<JobCore>> m_Entries;
  std::vector<Agent> m_Agents;
  std::multimap<TimePoint, std::function<void()>> m_Scheduled;
  std::uint64_t m_Jobs = 0;
  std::map<JobId, PendingJob> m_Pending;
  std::map<std::uint32_t, Outcomes> m_Outcomes;
  std::uint64_t m_MisroutedStarts = 0;
};

} // namespace cyclamencroft
