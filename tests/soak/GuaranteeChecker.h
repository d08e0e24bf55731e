// Checks observations of callers and endpoints against the system's guarantees
// and collects violations. Does no I/O.
#pragma once

#include "core/Runs.h"
#include "core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamencroft::soak {

struct Violation {
  TimePoint m_At;
  std::string m_Guarantee;
  std::string m_Detail;
};

/// A job as its caller submits it: one step of equal tasks.
struct SubmittedJob {
  JobId m_Id{};
  std::string m_Specification;
  std::uint32_t m_Tasks = 1;
  Size m_Need;
  std::uint32_t m_MaxAttempts = 1;
};

/// Outcome of one attempt of a caller.
enum class CallerOutcome : std::uint8_t {
  Completed,
  Failed,
  NotRun,  ///< Refused; guarantees that nothing has run.
  GivenUp, ///< A final answer that does not say whether something has run.
  ConnectionLost, ///< The connection ended without an answer.
  TimedOut,
  Disconnected, ///< The caller closed the connection.
};

class GuaranteeChecker {
public:
  void jobSubmitted(const SubmittedJob &Job);
  void jobAnswered(TimePoint At, JobId Job, CallerOutcome Outcome);

  void endpointStarted(const std::string &Endpoint, Size Capacity);
  /// Ends every run at the endpoint.
  void endpointExited(const std::string &Endpoint);
  void runStarted(TimePoint At, const std::string &Endpoint, const RunName &Run,
                  const std::string &Specification);
  /// \p End is what the endpoint reports.
  void runEnded(const std::string &Endpoint, const RunName &Run, RunEnd End);

  /// True when a run of the job has been started.
  bool hasRun(JobId Job) const;
  std::size_t activeRuns() const;

  /// Checks guarantees that hold only when no command is in flight.
  void checkFinalState(TimePoint At);

  void addViolation(TimePoint At, std::string Guarantee, std::string Detail);
  const std::vector<Violation> &violations() const { return m_Violations; }

private:
  struct Task {
    std::uint32_t m_Done = 0;
    std::uint32_t m_Failed = 0;
    /// Endpoints with an active run of the task.
    std::multiset<std::string> m_ActiveAt;
  };
  struct Job {
    SubmittedJob m_Submitted;
    std::vector<Task> m_Tasks;
    bool m_Ran = false;
    bool m_Answered = false;
    /// Every answer so far was a refusal.
    bool m_OnlyRefused = true;
  };
  struct Endpoint {
    Size m_Capacity;
    Size m_InUse;
    std::map<RunName, Size> m_Runs;
  };

  void checkCompleted(TimePoint At, const Job &Answered);
  void checkFailed(TimePoint At, const Job &Answered);

  std::map<JobId, Job> m_Jobs;
  std::map<std::string, Endpoint> m_Endpoints;
  std::vector<Violation> m_Violations;
};

} // namespace cyclamencroft::soak
