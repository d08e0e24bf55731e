// Queue of the tasks of one service that wait for an endpoint. Requests and
// jobs are scheduled by weighted round robin, the jobs of different teams by
// round robin with equal weights. Submissions that declare different sizes wait
// in separate lanes, so that one that needs a large endpoint does not block the
// others.
#pragma once

#include "entry/JobQueue.h"
#include "entry/SubmissionList.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamencroft {

/// While both requests and jobs wait, one in this many turns goes to a task of
/// a job. The others go to requests, whose callers wait for one short task.
constexpr std::uint32_t JobTurnInterval = 5;

class ServiceQueue {
public:
  explicit ServiceQueue(SubmissionTable &Table) : m_Table(&Table) {}

  /// Adds a submission with all its waiting tasks at the back.
  void add(SubmissionIndex Index);

  /// Puts back a task that was taken, at the front.
  void returnTask(SubmissionIndex Index, std::uint32_t Task);

  /// Removes a submission and its waiting tasks; does nothing when it does not
  /// wait.
  void remove(SubmissionIndex Index);

  /// Submission whose task is next in a lane that is not blocked; NoIndex when
  /// there is none.
  SubmissionIndex front();

  /// Removes and returns the next task of a submission returned by front().
  std::uint32_t take(SubmissionIndex Index);

  /// Excludes the submission's lane from front() until unblock(), because no
  /// endpoint is free for it.
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
  /// Waiting submissions that declare the same size.
  struct Lane {
    Lane() : m_Requests(&QueuePosition::m_Arrival) {}
    bool empty() const { return m_Requests.empty() && m_Active.empty(); }

    Size m_Need;
    SubmissionList m_Requests;
    std::vector<Team> m_Teams;
    // Invariant: holds the index of each team with waiting jobs once. The team
    // at m_NextTeam modulo the size is next.
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
  void enqueue(SubmissionIndex Index, bool AtFront);
  void dequeue(SubmissionIndex Index);

  SubmissionTable *m_Table;
  std::vector<Lane> m_Lanes;
  std::uint32_t m_NextLane = 0;
  std::uint32_t m_Requests = 0;
  std::uint32_t m_Jobs = 0;
  std::uint32_t m_JobTasks = 0;
};

} // namespace cyclamencroft
