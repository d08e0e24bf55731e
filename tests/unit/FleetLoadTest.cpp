// Plays heavy loads against the cores of several entries and agents and checks
// what callers get.
#include "FleetModel.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// Mix of a permit desk: many short urgent jobs of several tasks, and closures
/// that take longer. Arrivals are a Poisson process.
struct Load {
  double m_ChecksPerSecond = 0;
  double m_ClosuresPerSecond = 0;
};

constexpr std::size_t Entries = 6;
constexpr std::uint32_t Urgent = 0;
constexpr std::uint32_t Other = 1;

void play(FleetModel &Fleet, const Load &Offered, Duration Time) {
  const FleetModel::Job Check{8, 5, 60ms, Urgent, {}};
  const FleetModel::Job Closure{2, 5, 200ms, Other, {}};
  std::mt19937 Random(1);
  std::poisson_distribution<int> Checks(Offered.m_ChecksPerSecond / 1000);
  std::poisson_distribution<int> Closures(Offered.m_ClosuresPerSecond / 1000);
  for (Duration Played{}; Played < Time; Played += 1ms) {
    for (int Count = Checks(Random); Count > 0; --Count)
      Fleet.offer(Random() % Entries, Check);
    for (int Count = Closures(Random); Count > 0; --Count)
      Fleet.offer(Random() % Entries, Closure);
    Fleet.runFor(1ms);
  }
  Fleet.runFor(2s);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetLoad)

// A burst that lasts, at 1.3 times the capacity, three tenths of it urgent.
// Guards against short jobs that are late because one of their tasks waits at
// an endpoint while others have room.
BOOST_AUTO_TEST_CASE(UrgentJobsAreOnTimeInABurst) {
  FleetModel Fleet(Entries, 30, 64);
  play(Fleet, {310, 870}, 3s);
  const auto &Checks = Fleet.outcomes(Urgent);
  const auto &Closures = Fleet.outcomes(Other);
  BOOST_TEST(Checks.m_OnTime >= Checks.m_Offered * 9 / 10);
  // What is accepted is on time.
  BOOST_TEST(Checks.m_Late <= Checks.m_Offered / 50);
  // Two thirds of them fit beside the urgent work; a tenth of the capacity may
  // be lost.
  BOOST_TEST(Closures.m_OnTime >= Closures.m_Offered * 55 / 100);
  BOOST_TEST(Checks.m_GivenUp + Closures.m_GivenUp <= Checks.m_Offered / 100);
}

// Four fifths of the capacity. Guards against refusals and late jobs while
// there is room.
BOOST_AUTO_TEST_CASE(AFleetWithRoomServesNearlyAllOnTime) {
  FleetModel Fleet(Entries, 30, 64);
  play(Fleet, {190, 535}, 3s);
  for (const std::uint32_t Priority : {Urgent, Other}) {
    const auto &Served = Fleet.outcomes(Priority);
    BOOST_TEST(Served.m_OnTime >= Served.m_Offered * 95 / 100);
  }
}

BOOST_AUTO_TEST_SUITE_END()
