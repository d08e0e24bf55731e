// Tasks of one service that wait for an endpoint. Requests and jobs take
// weighted turns, teams take equal turns with their jobs. Submissions that
// declare different sizes wait in lanes of their own, so that one that needs a
// large endpoint does not hold up the rest.
#pragma once

#include "entry/JobQueue.h"
#include "entry/SubmissionList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

/// While both wait, one turn of this many goes to a task of a job and the
/// others to single requests, whose callers wait for one short task.
constexpr std::uint32_t JobTurnEvery = 5;

class ServiceQueue {
public:
  explicit ServiceQueue(SubmissionTable &Table) : m_Table(&Table) {}

  /// Adds a submission with all its waiting tasks at the end.
  void add(SubmissionIndex Index);

  /// Returns a task that was taken to the head.
  void returnTask(SubmissionIndex Index, std::uint32_t Task);

  /// Removes a submission; does nothing when it does not wait.
  void remove(SubmissionIndex Index);

  /// Submission whose task is next in a lane that is not blocked; NoIndex when
  /// there is none.
  SubmissionIndex front();

  /// Takes the next task of a submission returned by front().
  std::uint32_t take(SubmissionIndex Index);

  /// Leaves out the submission's lane until unblock(), because no endpoint is
  /// free for it.
  void block(SubmissionIndex Index);
  void unblock();

  std::uint32_t waitingTasks() const { return m_Requests + m_JobTasks; }
  std::uint32_t waitingRequests() const { return m_Requests; }
  std::uint32_t waitingJobs() const { return m_Jobs; }
  std::uint32_t waitingJobTasks() const { return m_JobTasks; }

private:
  struct Team {
    std::string m_Name;
    JobQueue m_Jobs;
  };
  struct Lane {
    Lane() : m_Requests(&QueuePlace::m_Arrival) {}
    bool empty() const { return m_Requests.empty() && m_Active.empty(); }

    Size m_Need;
    SubmissionList m_Requests;
    std::vector<Team> m_Teams;
    // Invariant: holds each team with waiting jobs once; the first is next.
    std::vector<std::uint32_t> m_Active;
    std::uint32_t m_NextTeam = 0;
    std::uint32_t m_Turn = 0;
    bool m_Blocked = false;
  };

  std::uint32_t laneFor(const Size &Need);
  static std::uint32_t teamFor(Lane &In, const std::string &Name);
  static void activate(Lane &In, std::uint32_t Team);
  static void deactivate(Lane &In, std::uint32_t Team);
  static SubmissionIndex frontOf(const Lane &In);
  void place(SubmissionIndex Index, bool AtFront);
  void displace(SubmissionIndex Index);

  SubmissionTable *m_Table;
  std::vector<Lane> m_Lanes;
  std::uint32_t m_NextLane = 0;
  std::uint32_t m_Requests = 0;
  std::uint32_t m_Jobs = 0;
  std::uint32_t m_JobTasks = 0;
};

} // namespace cyclamencroft
