// Tests the turns between requests, jobs, teams and sizes.
#include "entry/ServiceQueue.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace cyclamencroft;

namespace {

struct QueueFixture {
  SubmissionIndex add(std::uint32_t Tasks, const std::string &Team = "",
                      std::uint32_t Cores = 0) {
    ++m_Number;
    const SubmissionIndex Index =
        m_Table.add(RequestId{1, m_Number}, CallerId{m_Number});
    Submission &Added = m_Table[Index];
    Added.m_Kind = Tasks == 0 ? SubmissionKind::Request : SubmissionKind::Job;
    Added.m_Team = Team;
    Added.m_Need.m_MilliCores = Cores;
    Added.m_Tasks.resize(std::max(1U, Tasks));
    for (std::uint32_t Task = std::max(1U, Tasks); Task > 0; --Task)
      Added.m_Waiting.push_back(Task - 1);
    m_Queue.add(Index);
    return Index;
  }

  SubmissionIndex takeNext() {
    const SubmissionIndex Next = m_Queue.front();
    if (Next != NoIndex)
      m_LastTask = m_Queue.take(Next);
    return Next;
  }

  /// Tasks taken from each submission in a number of turns.
  std::map<SubmissionIndex, int> takeMany(int Turns) {
    std::map<SubmissionIndex, int> Taken;
    for (int Turn = 0; Turn < Turns; ++Turn)
      ++Taken[takeNext()];
    return Taken;
  }

  SubmissionTable m_Table;
  cyclamencroft::ServiceQueue m_Queue{m_Table};
  std::uint64_t m_Number = 0;
  std::uint32_t m_LastTask = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceQueues, QueueFixture)

// Guards against requests that wait behind a backlog of jobs, and against jobs
// that get no turn while requests keep coming.
BOOST_AUTO_TEST_CASE(RequestsGetFourOfFiveTurns) {
  const SubmissionIndex Job = add(100);
  for (int Number = 0; Number < 20; ++Number)
    add(0);
  BOOST_TEST(takeMany(20)[Job] == 4);
  BOOST_TEST(m_Queue.waitingRequests() == 4U);
}

// Guards against a team whose backlog delays the jobs of other teams.
BOOST_AUTO_TEST_CASE(TeamsTakeEqualTurns) {
  for (int Number = 0; Number < 50; ++Number)
    add(200, "quay");
  const SubmissionIndex Other = add(30, "depot");
  BOOST_TEST(takeMany(40)[Other] == 20);
}

// Guards against short jobs that wait for all long ones before them, and
// against a long job that is starved by short ones.
BOOST_AUTO_TEST_CASE(ShortJobsGoFirstAndTheOldestIsNotStarved) {
  const SubmissionIndex Long = add(200);
  for (int Number = 0; Number < 20; ++Number)
    add(100);
  const SubmissionIndex Short = add(3);
  auto Taken = takeMany(8);
  BOOST_TEST(Taken[Short] == 3);
  BOOST_TEST(Taken[Long] == 2);
}

// Guards against a returned task that loses its position in the queue or its
// job's.
BOOST_AUTO_TEST_CASE(ReturnedTaskIsTakenNext) {
  const SubmissionIndex First = add(0);
  const SubmissionIndex Second = add(0);
  BOOST_TEST(takeNext() == First);
  m_Queue.returnTask(First, 0);
  BOOST_TEST(takeNext() == First);
  BOOST_TEST(takeNext() == Second);
  const SubmissionIndex Job = add(2);
  takeNext();
  m_Queue.returnTask(Job, m_LastTask);
  BOOST_TEST(takeNext() == Job);
  BOOST_TEST(m_LastTask == 0U);
  takeNext();
  m_Queue.returnTask(Job, 1);
  BOOST_TEST(takeNext() == Job);
  BOOST_TEST(takeNext() == NoIndex);
}

// Guards against a task that needs a large endpoint and blocks the others.
BOOST_AUTO_TEST_CASE(BlockedSizeDoesNotBlockOthers) {
  const SubmissionIndex Large = add(0, "", 64);
  const SubmissionIndex Small = add(0, "", 1);
  BOOST_TEST(m_Queue.front() == Large);
  m_Queue.block(Large);
  BOOST_TEST(takeNext() == Small);
  BOOST_TEST(takeNext() == NoIndex);
  m_Queue.unblock();
  BOOST_TEST(takeNext() == Large);
}

// Guards against a lane that stays blocked after its last submission ended by
// deadline or cancellation: a slot that becomes free while nothing waits
// unblocks no lane, and the next submission would wait forever.
BOOST_AUTO_TEST_CASE(EmptiedSizeIsNotBlocked) {
  const SubmissionIndex Request = add(0);
  m_Queue.block(Request);
  m_Queue.remove(Request);
  const SubmissionIndex Job = add(2);
  BOOST_TEST(m_Queue.front() == Job);
  m_Queue.block(Job);
  m_Queue.remove(Job);
  const SubmissionIndex Last = add(0);
  BOOST_TEST(takeNext() == Last);
}

// Guards against a queue that stays blocked forever: its tasks expired while no
// endpoint was free, so no later event about a slot unblocks it.
BOOST_AUTO_TEST_CASE(LaneEmptiedWhileBlockedAcceptsNewWork) {
  const SubmissionIndex Expired = add(0);
  m_Queue.block(Expired);
  m_Queue.remove(Expired);
  const SubmissionIndex Next = add(0);
  BOOST_TEST(takeNext() == Next);
}

// Guards against counts that differ from the content, which would use up the
// queue limit permanently, and against links to removed submissions.
BOOST_AUTO_TEST_CASE(RemovalKeepsCountsAndOrder) {
  std::vector<SubmissionIndex> All;
  for (std::uint32_t Number = 0; Number < 60; ++Number)
    All.push_back(add(Number % 4, Number % 2 ? "quay" : "depot", Number % 40));
  takeMany(11);
  for (std::uint32_t Number = 0; Number < 60; Number += 2)
    m_Queue.remove(All[Number]);
  std::uint32_t Left = 0;
  while (takeNext() != NoIndex)
    ++Left;
  BOOST_TEST(Left > 30U);
  BOOST_TEST(m_Queue.waitingTasks() == 0U);
  BOOST_TEST(m_Queue.waitingJobs() == 0U);
  for (const SubmissionIndex Each : All)
    BOOST_TEST(m_Table[Each].m_Queue.m_Lane == NoIndex);
}

BOOST_AUTO_TEST_SUITE_END()
