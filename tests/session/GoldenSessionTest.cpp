// Compares the transcripts of scripted sessions with approved files. The head
// comment of each script says which failure it guards against.
#include "ApprovedFile.h"
#include "Script.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>

using namespace cyclamencroft::session;

namespace {

const std::string SessionDirectory = std::string(TESTS_DIRECTORY) + "/session";

std::vector<std::string> scriptNames() {
  std::vector<std::string> Names;
  for (const auto &File :
       std::filesystem::directory_iterator(SessionDirectory + "/scripts"))
    Names.push_back(File.path().stem().string());
  std::sort(Names.begin(), Names.end());
  return Names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Golden)

// Guards against unreviewed changes of behaviour and against violations of the
// invariants in the scripted situations.
BOOST_DATA_TEST_CASE(TranscriptMatchesApproved,
                     boost::unit_test::data::make(scriptNames()), Name) {
  const ScriptResult Result =
      runScript(SessionDirectory + "/scripts/" + Name + ".session");
  for (const std::string &Violation : Result.m_Violations)
    BOOST_ERROR(Violation);
  const std::string Diff = compareWithApproved(
      SessionDirectory + "/approved/" + Name + ".txt", Result.m_Transcript);
  BOOST_TEST(Diff.empty(), Diff);
}

// Guards against sessions that depend on more than their script, such as on
// memory addresses: comparisons with approved files would fail at random.
BOOST_AUTO_TEST_CASE(SessionsReplayExactly) {
  const std::string File =
      SessionDirectory + "/scripts/" + scriptNames().front() + ".session";
  BOOST_TEST(runScript(File).m_Transcript == runScript(File).m_Transcript);
}

BOOST_AUTO_TEST_SUITE_END()
