// Tests when a snapshot of the configuration is due.
#include "config/SnapshotPolicy.h"
#include "ConfigSamples.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

namespace {

const SnapshotLimits Limits{8, std::chrono::hours(1), std::chrono::seconds(10)};
const TimePoint Start{std::chrono::hours(100)};

/// A ConfigStateMachine that consumed a document and \p Switches accepted
/// preset switches.
ConfigStateMachine stateMachineWith(std::uint64_t Switches) {
  ConfigStateMachine StateMachine;
  StateMachine.consume(0, documentRecord("d", 0, sampleDocument()));
  for (std::uint64_t I = 1; I <= Switches; ++I)
    StateMachine.consume(I, presetRecord("p", I, I % 2 ? "peak" : "ordinary"));
  return StateMachine;
}

/// Makes \p StateMachine consume its own snapshot as the next record.
void readSnapshot(ConfigStateMachine &StateMachine) {
  const std::string Text = formatConfigRecord(StateMachine.makeSnapshot());
  StateMachine.consume(StateMachine.nextOffset(), Text);
}

bool isDue(const ConfigStateMachine &StateMachine, std::uint64_t First) {
  SnapshotPolicy Policy(Limits, 1);
  return Policy.due(Start, StateMachine, First, StateMachine.nextOffset())
      .has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigSnapshots)

// Guards against an append for every change: the log is shared and supports
// only several hundred appends a second.
BOOST_AUTO_TEST_CASE(SnapshotsAreSpacedByRecords) {
  BOOST_TEST(!isDue(stateMachineWith(6), 0));
  BOOST_TEST(isDue(stateMachineWith(7), 0));
}

// Guards against appending a snapshot that is already in the log.
BOOST_AUTO_TEST_CASE(EqualSnapshotIsNotRepeated) {
  ConfigStateMachine StateMachine = stateMachineWith(7);
  readSnapshot(StateMachine);
  for (int I = 0; I < 20; ++I)
    StateMachine.consume(StateMachine.nextOffset(), "rejected");
  BOOST_TEST(!isDue(StateMachine, 0));
}

// Guards against truncation of the only snapshot of a stream without changes.
BOOST_AUTO_TEST_CASE(SnapshotIsRenewedBeforeRetentionPassesIt) {
  ConfigStateMachine StateMachine = stateMachineWith(7);
  readSnapshot(StateMachine); // Covers the records below offset 8.
  for (int I = 0; I < 11; ++I)
    StateMachine.consume(StateMachine.nextOffset(),
                         "rejected"); // The next offset is 20.
  BOOST_TEST(!isDue(StateMachine, 4));
  BOOST_TEST(isDue(StateMachine, 5));
  BOOST_TEST(isDue(StateMachine, 15));
  readSnapshot(StateMachine);
  BOOST_TEST(!isDue(StateMachine, 5));
}

// Guards against a stream with rare changes that no snapshot covers for days.
BOOST_AUTO_TEST_CASE(ChangeOlderThanThePeriodIsSnapshotted) {
  const ConfigStateMachine StateMachine = stateMachineWith(1);
  SnapshotPolicy Policy(Limits, 1);
  BOOST_TEST(!Policy.due(Start, StateMachine, 0, 2));
  BOOST_TEST(!Policy.due(Start + std::chrono::minutes(59), StateMachine, 0, 2));
  BOOST_TEST(Policy.due(Start + std::chrono::minutes(60), StateMachine, 0, 2)
                 .has_value());
}

// Guards against snapshots of a state that is unknown or incomplete.
BOOST_AUTO_TEST_CASE(NoSnapshotWithoutTheVersionInEffect) {
  ConfigStateMachine Empty;
  SnapshotPolicy Policy(Limits, 1);
  BOOST_TEST(!Policy.due(Start, Empty, 0, 0));
  ConfigStateMachine StateMachine = stateMachineWith(7);
  BOOST_TEST(!Policy.due(Start, StateMachine, 0, 9)); // One record is unread.
  StateMachine.truncatedTo(30);
  BOOST_TEST(!Policy.due(Start, StateMachine, 30, 30));
}

// Guards against all entries appending at once, and against a second append
// after a lost reply before the first one can be read from the log.
BOOST_AUTO_TEST_CASE(EntriesSpreadAndDontRetryAtOnce) {
  const ConfigStateMachine StateMachine = stateMachineWith(7);
  std::vector<TimePoint> Times;
  for (std::uint64_t Seed = 0; Seed < 20; ++Seed) {
    SnapshotPolicy Policy(Limits, Seed);
    const TimePoint Due = *Policy.due(Start, StateMachine, 0, 8);
    BOOST_CHECK(Due >= Start && Due <= Start + Limits.m_Jitter);
    BOOST_CHECK(
        Policy.due(Start + std::chrono::seconds(1), StateMachine, 0, 8) == Due);
    Policy.recordAttempt(Due);
    BOOST_CHECK(*Policy.due(Due, StateMachine, 0, 8) >= Due + Limits.m_Jitter);
    Times.push_back(Due);
  }
  const auto [Lowest, Highest] =
      std::minmax_element(Times.begin(), Times.end());
  BOOST_CHECK(*Highest - *Lowest > Limits.m_Jitter / 2);
}

// Guards against waiting for the normal jitter while the log has no usable
// snapshot, also when that wait has already begun or an append was just
// attempted.
BOOST_AUTO_TEST_CASE(LogWithoutUsableSnapshotGetsOneSoon) {
  ConfigStateMachine StateMachine = stateMachineWith(7);
  SnapshotPolicy Policy(Limits, 1);
  Policy.due(Start, StateMachine, 0, 8);
  const Duration Soon = Limits.m_UrgentJitter;
  BOOST_CHECK(*Policy.due(Start, StateMachine, 3, 8) <= Start + Soon);
  Policy.recordAttempt(Start);
  const TimePoint Again = *Policy.due(Start, StateMachine, 3, 8);
  BOOST_CHECK(Again >= Start + Soon && Again <= Start + 2 * Soon);
  readSnapshot(StateMachine); // Covers the records below offset 8.
  BOOST_TEST(!Policy.due(Start, StateMachine, 3, 9));
}

BOOST_AUTO_TEST_SUITE_END()
