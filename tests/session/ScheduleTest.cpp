// Seeded random sessions of the real decision cores.
//
// CYCLAMENCROFT_SEED=N runs one seed and prints its transcript;
// CYCLAMENCROFT_SEEDS=N runs seeds 1 to N instead of the default number.
#include "RandomSchedule.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

using namespace cyclamencroft::session;

namespace {

constexpr std::uint64_t DefaultSeedCount = 1000;

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *const Value = std::getenv(Name);
  return Value ? std::strtoull(Value, nullptr, 10) : Default;
}

/// Runs one seed and prints its violations; true when there are none.
bool seedPasses(std::uint64_t Seed, bool Print) {
  RandomSchedule Schedule(Seed);
  Schedule.run();
  const auto &Violations = Schedule.session().checker().violations();
  if (Print || !Violations.empty())
    std::cout << Schedule.session().transcript().text();
  for (const std::string &Violation : Violations)
    std::cout << "seed " << Seed << ": " << Violation << "\n";
  return Violations.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Schedules)

// Guards against sequences of kills, cuts, freezes, duplicates and restarts
// that violate an invariant.
BOOST_AUTO_TEST_CASE(InvariantsHoldInRandomSessions) {
  const std::uint64_t SingleSeed = fromEnvironment("CYCLAMENCROFT_SEED", 0);
  if (SingleSeed != 0) {
    BOOST_TEST(seedPasses(SingleSeed, true));
    return;
  }
  const std::uint64_t SeedCount =
      fromEnvironment("CYCLAMENCROFT_SEEDS", DefaultSeedCount);
  // Limits the output to the transcripts of the first failures.
  constexpr int MaxFailures = 3;
  int Failures = 0;
  for (std::uint64_t Seed = 1; Seed <= SeedCount && Failures < MaxFailures;
       ++Seed)
    Failures += seedPasses(Seed, false) ? 0 : 1;
  BOOST_TEST(Failures == 0);
}

// Guards against a window whose floor does not advance: the agent keeps 1,024
// sequences of an entry, and the next dispatch would close the link.
BOOST_AUTO_TEST_CASE(WindowFloorAdvancesWithDispatches) {
  SessionLayout Layout = SessionLayout::eaux();
  Layout.m_Entries = 1;
  Layout.m_Workers = 1;
  Session LongSession(Layout);
  SubmissionOptions Job;
  Job.m_Entry = "e1";
  Job.m_JobTasks = 200;
  Job.m_MustComplete = true;
  Job.m_Task.m_RunTime = std::chrono::milliseconds(1);
  for (int I = 0; I < 12; ++I) {
    Job.m_Name = "job" + std::to_string(I);
    LongSession.run(std::chrono::seconds(I + 1));
    LongSession.submit(Job);
  }
  LongSession.run(std::chrono::seconds(15));
  LongSession.checkFinalState();
  for (const std::string &Violation : LongSession.checker().violations())
    BOOST_ERROR(Violation);
}

BOOST_AUTO_TEST_SUITE_END()
