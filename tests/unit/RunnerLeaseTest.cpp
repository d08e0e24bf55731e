// Leases that an agent grants by the clock of its endpoint, which may be 2%
// slow: a run that is reported as lost must not begin or continue.
#include "ConnectedRunner.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : ConnectedRunner {
  static constexpr EndpointMs ClockAtStart = 50000;
  static constexpr auto HeartbeatInterval = 1500ms;

  /// Clock of an endpoint that runs 2% slow since the agent has known it.
  EndpointMs slowClock() const {
    const auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        (now() - m_StartedAt) * 98 / 100);
    return ClockAtStart + Elapsed.count();
  }

  void sendHeartbeat(EndpointMs Clock) {
    EndpointHeartbeat Beat = heartbeat(1000, ++m_Sequence);
    Beat.m_Clock = Clock;
    feed(Beat);
  }

  /// No task runs; heartbeats and the leases of the entry continue.
  void idleFor(Duration Time) {
    const TimePoint End = now() + Time;
    while (now() < End) {
      advance(HeartbeatInterval);
      sendHeartbeat(slowClock());
      sendLease();
    }
    clearCommands();
  }

  EndpointMs leaseOfOnlyStart() const {
    const auto Starts = commands<CallStart>();
    BOOST_REQUIRE(Starts.size() == 1);
    return Starts[0].m_LeaseEnd;
  }

  /// The endpoint's clock shows ClockAtStart.
  const TimePoint m_StartedAt = now();
  std::uint64_t m_Sequence = 1;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunnerLeases, Fixture)

// Guards against two runs of a task at the same time: an endpoint that was idle
// and stands still gets starts with leases that were computed from an old
// reading of its clock, and executes them after the agent has reported the runs
// as lost.
BOOST_AUTO_TEST_CASE(AStartCannotTakeEffectOnceItsRunIsReportedAsLost) {
  idleFor(60s);
  startTask(runNamed(0));
  std::size_t Unanswered = 0;
  for (const TimePoint End = now() + 3s; messages<TaskEnded>().empty();) {
    BOOST_REQUIRE(now() < End);
    advance(50ms);
    sendLease();
    for (; Unanswered < commands<CallStart>().size(); ++Unanswered)
      feed(StartAnswered{
          runNamed(0), CallFault::NoAnswer, StartResult::Started, {}});
    failHold(CallFault::NoAnswer);
  }
  BOOST_TEST((messages<TaskEnded>()[0].m_End == RunEnd::Lost));
  for (const CallStart &Each : commands<CallStart>())
    BOOST_TEST(Each.m_LeaseEnd <= slowClock());
  for (const CallHold &Each : commands<CallHold>())
    BOOST_TEST(Each.m_LeaseEnd.value_or(0) <= slowClock());
}

// Guards against leases that are too long because the allowance for a slow
// clock covers the lease but not the age of the reading.
BOOST_AUTO_TEST_CASE(TheAgeOfAClockReadingDoesNotLengthenALease) {
  advance(4s);
  sendLease();
  startTask(runNamed(0));
  BOOST_TEST(leaseOfOnlyStart() <= slowClock() + 1000);
}

// Guards against starts that are rejected as late because a heartbeat was
// delayed: it shows an earlier time than what is known already.
BOOST_AUTO_TEST_CASE(ADelayedHeartbeatDoesNotShortenLeases) {
  idleFor(10s);
  sendHeartbeat(slowClock() - 2000);
  startTask(runNamed(0));
  BOOST_TEST(leaseOfOnlyStart() >= slowClock() + 990);
}

// Guards against leases that shrink with the time for which an endpoint with an
// exact clock is idle.
BOOST_AUTO_TEST_CASE(AnIdleEndpointWithAnExactClockGetsNearlyTheWholeLease) {
  const TimePoint KnownAt = now();
  EndpointMs Clock = ClockAtStart;
  while (now() < KnownAt + 60s) {
    advance(HeartbeatInterval);
    Clock += std::chrono::milliseconds(HeartbeatInterval).count();
    sendHeartbeat(Clock);
    sendLease();
  }
  advance(HeartbeatInterval);
  Clock += std::chrono::milliseconds(HeartbeatInterval).count();
  clearCommands();
  sendLease();
  startTask(runNamed(0));
  BOOST_TEST(leaseOfOnlyStart() >= Clock + 960);
}

// Guards against leases far beyond the configured ones: an answer of an
// endpoint that has restarted arrives after the first heartbeat of its next
// incarnation, whose clock starts anew.
BOOST_AUTO_TEST_CASE(AnswersOfAnEarlierIncarnationDoNotSetTheClock) {
  startTask(runNamed(0));
  EndpointHeartbeat Restarted = heartbeat(2000, 1);
  Restarted.m_Clock = 100;
  feed(Restarted);
  HoldAnswered Lists;
  Lists.m_Call = commands<CallHold>().back().m_Number;
  Lists.m_StartedAtMs = 2000;
  Lists.m_Clock = 100;
  feed(Lists);
  answerStart(runNamed(0));
  feed(StopAnswered{runNamed(0), CallFault::None, false, ClockAtStart});
  clearCommands();
  startTask(runNamed(1));
  BOOST_TEST(leaseOfOnlyStart() <= 100 + 1000);
}

BOOST_AUTO_TEST_SUITE_END()
