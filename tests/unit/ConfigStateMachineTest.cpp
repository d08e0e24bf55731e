// Tests the decisions on records of the configuration stream.
#include "config/ConfigStateMachine.h"
#include "ConfigSamples.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cyclamencroft;

namespace {

RecordDecision last(ConfigStateMachine &StateMachine, std::uint64_t Offset,
                    const std::string &Text) {
  return StateMachine.consume(Offset, Text).back();
}

ConfigTransfer transferOf(const ConfigState &State) {
  return {State.m_Version, State.m_Offset, State.m_PresetName,
          State.m_Document};
}

/// A state machine that has read one document at offset 0 and a switch at
/// offset 1.
ConfigStateMachine stateMachineAtVersionTwo() {
  ConfigStateMachine StateMachine;
  StateMachine.consume(0, documentRecord("a", 0, sampleDocument()));
  StateMachine.consume(1, presetRecord("b", 1, "peak"));
  return StateMachine;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigStream)

// Guards against accepting two concurrent changes that are based on the same
// version.
BOOST_AUTO_TEST_CASE(FirstOfConcurrentChangesIsAccepted) {
  ConfigStateMachine StateMachine;
  StateMachine.consume(0, documentRecord("a", 0, sampleDocument()));
  const auto First = last(StateMachine, 1, presetRecord("b", 1, "peak"));
  const auto Second =
      last(StateMachine, 2, documentRecord("c", 1, sampleDocument(5)));
  BOOST_CHECK(First.m_Decision == Decision::Accepted);
  BOOST_TEST(First.m_Version == 2);
  BOOST_CHECK(Second.m_Decision == Decision::Rejected);
  BOOST_TEST(Second.m_Reason == "base 1 is not the version in effect, 2");
  BOOST_TEST(StateMachine.adopted()->m_PresetName == "peak");
  BOOST_TEST(StateMachine.adopted()->m_Offset == 2);
}

// Guards against invalid changes that raise the version or replace the state.
BOOST_AUTO_TEST_CASE(InvalidChangesAreRejectedAndChangeNothing) {
  ConfigStateMachine StateMachine = stateMachineAtVersionTwo();
  const std::string Bad[] = {documentRecord("c", 2, "preset = 3"),
                             presetRecord("c", 2, "night"),
                             presetRecord("c", 3, "ordinary"), "not json",
                             snapshotRecord(9, 99, "ordinary")};
  std::uint64_t Offset = 2;
  for (const std::string &Text : Bad) {
    const auto Decided = last(StateMachine, Offset++, Text);
    BOOST_CHECK(Decided.m_Decision == Decision::Rejected);
    BOOST_TEST(!Decided.m_Reason.empty());
    BOOST_TEST(Decided.m_Version == 2);
  }
  BOOST_TEST(StateMachine.adopted()->m_PresetName == "peak");
  BOOST_TEST(StateMachine.nextOffset() == 7);
}

// Guards against duplicate records: one read twice, and one appended twice.
BOOST_AUTO_TEST_CASE(DuplicateRecordsCountOnce) {
  ConfigStateMachine StateMachine = stateMachineAtVersionTwo();
  BOOST_CHECK(last(StateMachine, 1, presetRecord("b", 1, "peak")).m_Decision ==
              Decision::Ignored);
  BOOST_CHECK(last(StateMachine, 2, presetRecord("b", 1, "peak")).m_Decision ==
              Decision::Rejected);
  BOOST_TEST(StateMachine.currentVersion() == 2);
}

// Guards against a reader of a truncated log that treats the first change it
// reads as the version in effect.
BOOST_AUTO_TEST_CASE(ChangesOfATruncatedLogAreHeldUntilASnapshotHasTheVersion) {
  ConfigStateMachine StateMachine;
  StateMachine.truncatedTo(10);
  BOOST_TEST(!StateMachine.isCurrent());
  // Offset 10 is covered by the snapshot; offsets 11 and 12 come after it.
  StateMachine.consume(10, presetRecord("x", 6, "peak"));
  StateMachine.consume(11, presetRecord("y", 7, "ordinary"));
  BOOST_CHECK(last(StateMachine, 12, presetRecord("z", 7, "peak")).m_Decision ==
              Decision::Held);
  BOOST_TEST(!StateMachine.adopted());
  const auto Decided = StateMachine.consume(13, snapshotRecord(7, 11, "peak"));
  BOOST_REQUIRE(Decided.size() == 3);
  BOOST_CHECK(Decided[0].m_Decision == Decision::Accepted);
  BOOST_TEST(Decided[0].m_Header.m_ChangeId == "y");
  BOOST_CHECK(Decided[1].m_Decision == Decision::Rejected);
  BOOST_TEST(StateMachine.adopted()->m_Version == 8);
  BOOST_TEST(StateMachine.adopted()->m_PresetName == "ordinary");
  BOOST_TEST(StateMachine.nextOffset() == 14);
}

// Guards against using a snapshot below the first retained record: changes
// between the two are missing.
BOOST_AUTO_TEST_CASE(SnapshotBelowTheFirstRecordKeptIsNoBasis) {
  ConfigStateMachine StateMachine;
  StateMachine.truncatedTo(10);
  StateMachine.consume(10, snapshotRecord(4, 8));
  BOOST_TEST(!StateMachine.isCurrent());
  BOOST_TEST(!StateMachine.adopted());
  StateMachine.consume(11, snapshotRecord(6, 11));
  BOOST_TEST(StateMachine.adopted()->m_Version == 6);
}

// Guards against decisions after a gap, when the log was truncated past a slow
// reader or records are missing in a response: the version before the gap may
// be out of date.
BOOST_AUTO_TEST_CASE(GapsMakeTheVersionUnknownAndKeepTheAdoptedState) {
  ConfigStateMachine StateMachine = stateMachineAtVersionTwo();
  BOOST_CHECK(
      last(StateMachine, 5, presetRecord("c", 2, "ordinary")).m_Decision ==
      Decision::Held);
  BOOST_TEST(!StateMachine.isCurrent());
  BOOST_TEST(StateMachine.adopted()->m_Version == 2);
  StateMachine.truncatedTo(9);
  BOOST_TEST(StateMachine.nextOffset() == 9);
  StateMachine.consume(9, snapshotRecord(4, 9, "ordinary", 7));
  BOOST_TEST(StateMachine.adopted()->m_Version == 4);
}

// Guards against a configuration that reverts: lower or equal versions from
// peers, and snapshots of an older state.
BOOST_AUTO_TEST_CASE(LowerVersionsAreNeverAdopted) {
  ConfigStateMachine StateMachine = stateMachineAtVersionTwo();
  std::string Reason;
  BOOST_TEST(
      !StateMachine.offer({1, 50, "ordinary", sampleDocument()}, Reason));
  BOOST_TEST(
      !StateMachine.offer({2, 50, "ordinary", sampleDocument()}, Reason));
  // Offset 1 was read and has no version 3.
  BOOST_TEST(!StateMachine.offer({3, 1, "ordinary", sampleDocument()}, Reason));
  BOOST_TEST(!StateMachine.offer({3, 50, "night", sampleDocument()}, Reason));
  BOOST_TEST(!StateMachine.offer({3, 50, "ordinary", "preset = 1"}, Reason));
  StateMachine.truncatedTo(20);
  BOOST_CHECK(last(StateMachine, 20, snapshotRecord(1, 20)).m_Decision ==
              Decision::Rejected);
  BOOST_CHECK(last(StateMachine, 21, snapshotRecord(2, 20)).m_Decision ==
              Decision::Rejected);
  BOOST_TEST(StateMachine.adopted()->m_Version == 2);
  BOOST_TEST(StateMachine.adopted()->m_PresetName == "peak");
}

// Guards against a configuration that reverts while the log is read again from
// its start after a later state was adopted.
BOOST_AUTO_TEST_CASE(ReadingAgainNeverLowersTheAdoptedState) {
  ConfigStateMachine StateMachine = stateMachineAtVersionTwo();
  StateMachine.restartAt(0);
  StateMachine.consume(0, documentRecord("a", 0, sampleDocument()));
  BOOST_TEST(StateMachine.currentVersion() == 1);
  BOOST_TEST(StateMachine.adopted()->m_Version == 2);
}

// Guards against deciding from a peer's state when changes after it are
// truncated, and against not using a peer's state after which no record is
// missing.
BOOST_AUTO_TEST_CASE(PeerStateIsABasisOnlyWhenNoRecordIsMissingAfterIt) {
  ConfigStateMachine Source = stateMachineAtVersionTwo();
  std::string Reason;
  ConfigStateMachine Fresh;
  BOOST_TEST(Fresh.offer(transferOf(*Source.adopted()), Reason));
  BOOST_TEST(Fresh.nextOffset() == 2);
  BOOST_CHECK(last(Fresh, 2, presetRecord("c", 2, "ordinary")).m_Decision ==
              Decision::Accepted);

  ConfigStateMachine Truncated;
  Truncated.truncatedTo(3);
  Truncated.consume(3, presetRecord("d", 2, "ordinary"));
  BOOST_TEST(Truncated.offer(transferOf(*Source.adopted()), Reason));
  BOOST_TEST(Truncated.adopted()->m_Version == 2);
  BOOST_TEST(!Truncated.isCurrent());
  BOOST_TEST(Truncated.offer({3, 3, "ordinary", sampleDocument()}, Reason));
  BOOST_TEST(Truncated.isCurrent());
  BOOST_TEST(Truncated.currentVersion() == 3);
}

// Guards against readers that decide differently because they started at
// different offsets, held changes, or read records twice.
BOOST_AUTO_TEST_CASE(EveryStartingPointReachesTheSameDecisions) {
  constexpr int Records = 400;
  std::mt19937 Random(7);
  ConfigStateMachine Full;
  std::vector<std::string> Log;
  std::vector<ConfigVersion> VersionAfter;
  for (int Offset = 0; Offset < Records; ++Offset) {
    const ConfigVersion Base =
        Full.currentVersion() - (Random() % 4 == 0 && Full.currentVersion());
    std::string Text = presetRecord("p", Base, Random() % 2 ? "peak" : "night");
    if (Offset == 0 || Random() % 3 == 0)
      Text = documentRecord("d", Base, sampleDocument(Offset));
    else if (Random() % 8 == 0) {
      Snapshot State = Full.makeSnapshot();
      Text = formatConfigRecord(State);
    }
    Full.consume(Offset, Text);
    Log.push_back(Text);
    VersionAfter.push_back(Full.currentVersion());
  }
  int Compared = 0;
  for (int Start = 1; Start < Records; Start += 13) {
    ConfigStateMachine StateMachine;
    StateMachine.truncatedTo(Start);
    for (int Offset = Start; Offset < Records; ++Offset) {
      StateMachine.consume(Offset, Log[Offset]);
      if (Random() % 5 == 0)
        StateMachine.consume(Start, Log[Start]);
      if (StateMachine.isCurrent())
        BOOST_REQUIRE(StateMachine.currentVersion() == VersionAfter[Offset]);
      Compared += StateMachine.isCurrent();
    }
  }
  BOOST_TEST(Compared > Records);
}

BOOST_AUTO_TEST_SUITE_END()
