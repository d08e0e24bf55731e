// Tests the decisions on records of the configuration stream.
#include "config/ConfigJudge.h"
#include "ConfigSamples.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace cyclamencroft;

namespace {

Judgement last(ConfigJudge &Judge, std::uint64_t Offset,
               const std::string &Text) {
  return Judge.consume(Offset, Text).back();
}

ConfigTransfer transferOf(const ConfigState &State) {
  return {State.m_Version, State.m_Offset, State.m_PresetName,
          State.m_Document};
}

/// A judge that has read one document at offset 0 and a switch at offset 1.
ConfigJudge judgeAtVersionTwo() {
  ConfigJudge Judge;
  Judge.consume(0, documentRecord("a", 0, sampleDocument()));
  Judge.consume(1, presetRecord("b", 1, "peak"));
  return Judge;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigStream)

// Guards against accepting two concurrent changes that are based on the same
// version.
BOOST_AUTO_TEST_CASE(FirstOfConcurrentChangesIsAccepted) {
  ConfigJudge Judge;
  Judge.consume(0, documentRecord("a", 0, sampleDocument()));
  const auto First = last(Judge, 1, presetRecord("b", 1, "peak"));
  const auto Second = last(Judge, 2, documentRecord("c", 1, sampleDocument(5)));
  BOOST_CHECK(First.m_Decision == Decision::Accepted);
  BOOST_TEST(First.m_Version == 2);
  BOOST_CHECK(Second.m_Decision == Decision::Rejected);
  BOOST_TEST(Second.m_Reason == "base 1 is not the version in effect, 2");
  BOOST_TEST(Judge.adopted()->m_PresetName == "peak");
  BOOST_TEST(Judge.adopted()->m_Offset == 2);
}

// Guards against invalid changes that raise the version or replace the state.
BOOST_AUTO_TEST_CASE(InvalidChangesAreRejectedAndChangeNothing) {
  ConfigJudge Judge = judgeAtVersionTwo();
  const std::string Bad[] = {documentRecord("c", 2, "preset = 3"),
                             presetRecord("c", 2, "night"),
                             presetRecord("c", 3, "ordinary"), "not json",
                             snapshotRecord(9, 99, "ordinary")};
  std::uint64_t Offset = 2;
  for (const std::string &Text : Bad) {
    const auto Decided = last(Judge, Offset++, Text);
    BOOST_CHECK(Decided.m_Decision == Decision::Rejected);
    BOOST_TEST(!Decided.m_Reason.empty());
    BOOST_TEST(Decided.m_Version == 2);
  }
  BOOST_TEST(Judge.adopted()->m_PresetName == "peak");
  BOOST_TEST(Judge.nextOffset() == 7);
}

// Guards against duplicate records: one read twice, and one appended twice.
BOOST_AUTO_TEST_CASE(DuplicateRecordsCountOnce) {
  ConfigJudge Judge = judgeAtVersionTwo();
  BOOST_CHECK(last(Judge, 1, presetRecord("b", 1, "peak")).m_Decision ==
              Decision::Ignored);
  BOOST_CHECK(last(Judge, 2, presetRecord("b", 1, "peak")).m_Decision ==
              Decision::Rejected);
  BOOST_TEST(Judge.currentVersion() == 2);
}

// Guards against a reader of a truncated log that treats the first change it
// reads as the version in effect.
BOOST_AUTO_TEST_CASE(ChangesOfATruncatedLogAreHeldUntilASnapshotHasTheVersion) {
  ConfigJudge Judge;
  Judge.truncatedTo(10);
  BOOST_TEST(!Judge.isCurrent());
  // Offset 10 is covered by the snapshot; offsets 11 and 12 come after it.
  Judge.consume(10, presetRecord("x", 6, "peak"));
  Judge.consume(11, presetRecord("y", 7, "ordinary"));
  BOOST_CHECK(last(Judge, 12, presetRecord("z", 7, "peak")).m_Decision ==
              Decision::Held);
  BOOST_TEST(!Judge.adopted());
  const auto Decided = Judge.consume(13, snapshotRecord(7, 11, "peak"));
  BOOST_REQUIRE(Decided.size() == 3);
  BOOST_CHECK(Decided[0].m_Decision == Decision::Accepted);
  BOOST_TEST(Decided[0].m_Header.m_ChangeId == "y");
  BOOST_CHECK(Decided[1].m_Decision == Decision::Rejected);
  BOOST_TEST(Judge.adopted()->m_Version == 8);
  BOOST_TEST(Judge.adopted()->m_PresetName == "ordinary");
  BOOST_TEST(Judge.nextOffset() == 14);
}

// Guards against using a snapshot below the first retained record: changes
// between the two are missing.
BOOST_AUTO_TEST_CASE(SnapshotBelowTheFirstRecordKeptIsNoBasis) {
  ConfigJudge Judge;
  Judge.truncatedTo(10);
  Judge.consume(10, snapshotRecord(4, 8));
  BOOST_TEST(!Judge.isCurrent());
  BOOST_TEST(!Judge.adopted());
  Judge.consume(11, snapshotRecord(6, 11));
  BOOST_TEST(Judge.adopted()->m_Version == 6);
}

// Guards against decisions after a gap, when the log was truncated past a slow
// reader or records are missing in a response: the version before the gap may
// be out of date.
BOOST_AUTO_TEST_CASE(GapsMakeTheVersionUnknownAndKeepTheAdoptedState) {
  ConfigJudge Judge = judgeAtVersionTwo();
  BOOST_CHECK(last(Judge, 5, presetRecord("c", 2, "ordinary")).m_Decision ==
              Decision::Held);
  BOOST_TEST(!Judge.isCurrent());
  BOOST_TEST(Judge.adopted()->m_Version == 2);
  Judge.truncatedTo(9);
  BOOST_TEST(Judge.nextOffset() == 9);
  Judge.consume(9, snapshotRecord(4, 9, "ordinary", 7));
  BOOST_TEST(Judge.adopted()->m_Version == 4);
}

// Guards against a configuration that reverts: lower or equal versions from
// peers, and snapshots of an older state.
BOOST_AUTO_TEST_CASE(LowerVersionsAreNeverAdopted) {
  ConfigJudge Judge = judgeAtVersionTwo();
  std::string Reason;
  BOOST_TEST(!Judge.offer({1, 50, "ordinary", sampleDocument()}, Reason));
  BOOST_TEST(!Judge.offer({2, 50, "ordinary", sampleDocument()}, Reason));
  // Offset 1 was read and has no version 3.
  BOOST_TEST(!Judge.offer({3, 1, "ordinary", sampleDocument()}, Reason));
  BOOST_TEST(!Judge.offer({3, 50, "night", sampleDocument()}, Reason));
  BOOST_TEST(!Judge.offer({3, 50, "ordinary", "preset = 1"}, Reason));
  Judge.truncatedTo(20);
  BOOST_CHECK(last(Judge, 20, snapshotRecord(1, 20)).m_Decision ==
              Decision::Rejected);
  BOOST_CHECK(last(Judge, 21, snapshotRecord(2, 20)).m_Decision ==
              Decision::Rejected);
  BOOST_TEST(Judge.adopted()->m_Version == 2);
  BOOST_TEST(Judge.adopted()->m_PresetName == "peak");
}

// Guards against a configuration that reverts while the log is read again from
// its start after a later state was adopted.
BOOST_AUTO_TEST_CASE(ReadingAgainNeverLowersTheAdoptedState) {
  ConfigJudge Judge = judgeAtVersionTwo();
  Judge.restartAt(0);
  Judge.consume(0, documentRecord("a", 0, sampleDocument()));
  BOOST_TEST(Judge.currentVersion() == 1);
  BOOST_TEST(Judge.adopted()->m_Version == 2);
}

// Guards against deciding from a peer's state when changes after it are
// truncated, and against not using a peer's state after which no record is
// missing.
BOOST_AUTO_TEST_CASE(PeerStateIsABasisOnlyWhenNoRecordIsMissingAfterIt) {
  ConfigJudge Source = judgeAtVersionTwo();
  std::string Reason;
  ConfigJudge Fresh;
  BOOST_TEST(Fresh.offer(transferOf(*Source.adopted()), Reason));
  BOOST_TEST(Fresh.nextOffset() == 2);
  BOOST_CHECK(last(Fresh, 2, presetRecord("c", 2, "ordinary")).m_Decision ==
              Decision::Accepted);

  ConfigJudge Truncated;
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
  ConfigJudge Full;
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
    ConfigJudge Judge;
    Judge.truncatedTo(Start);
    for (int Offset = Start; Offset < Records; ++Offset) {
      Judge.consume(Offset, Log[Offset]);
      if (Random() % 5 == 0)
        Judge.consume(Start, Log[Start]);
      if (Judge.isCurrent())
        BOOST_REQUIRE(Judge.currentVersion() == VersionAfter[Offset]);
      Compared += Judge.isCurrent();
    }
  }
  BOOST_TEST(Compared > Records);
}

BOOST_AUTO_TEST_SUITE_END()
