// Guards against a soak that passes because its checks miss violations: each
// guarantee must be reported when it is violated.
#include "soak/GuaranteeChecker.h"
#include "soak/ConfigurationChecker.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace cyclamencroft::soak;
using namespace std::chrono_literals;

namespace {

struct Fixture : GuaranteeChecker {
  static constexpr TimePoint Start{1h};

  Fixture() {
    jobSubmitted({JobId{1}, "spec", 2, {1000, 64, 0}, 2});
    endpointStarted("a", {2000, 1024, 0});
    endpointStarted("b", {2000, 1024, 0});
  }
  static RunName run(std::uint32_t Index, std::uint32_t Number = 1) {
    return {{JobId{1}, 0, Index}, Number};
  }
  /// Guarantee of the only violation; empty unless there is exactly one.
  std::string violatedGuarantee() const {
    return violations().size() == 1 ? violations()[0].m_Guarantee : "";
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoakGuarantees, Fixture)

BOOST_AUTO_TEST_CASE(TwoRunsOfATaskAtATimeAreNoticed) {
  runStarted(Start, "a", run(0), "spec");
  runStarted(Start, "b", run(0, 2), "spec");
  BOOST_TEST(violatedGuarantee() == "one run of a task at a time");
}

BOOST_AUTO_TEST_CASE(ARunAfterTheEndOfTheOneBeforeIsAllowed) {
  runStarted(Start, "a", run(0), "spec");
  endpointExited("a");
  runStarted(Start, "b", run(0, 2), "spec");
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(AnIncompleteAnswerIsNoticed) {
  runStarted(Start, "a", run(0), "spec");
  runEnded("a", run(0), RunEnd::Done);
  jobAnswered(Start, JobId{1}, CallerOutcome::Completed);
  BOOST_TEST(violatedGuarantee() == "a completed job has all tasks done");
}

BOOST_AUTO_TEST_CASE(AFailureBeforeTheLastAttemptIsNoticed) {
  runStarted(Start, "a", run(0), "spec");
  runEnded("a", run(0), RunEnd::Failed);
  jobAnswered(Start, JobId{1}, CallerOutcome::Failed);
  BOOST_TEST(violatedGuarantee() == "failed only after all attempts");
}

BOOST_AUTO_TEST_CASE(AnOverfullEndpointIsNoticed) {
  jobSubmitted({JobId{2}, "large", 1, {1500, 64, 0}, 2});
  runStarted(Start, "a", run(0), "spec");
  runStarted(Start, "a", {{JobId{2}, 0, 0}, 1}, "large");
  BOOST_TEST(violatedGuarantee() == "runs fit the endpoint's capacity");
}

BOOST_AUTO_TEST_CASE(ATaskThatNobodySubmittedIsNoticed) {
  runStarted(Start, "a", run(2), "spec");
  BOOST_TEST(violatedGuarantee() == "only submitted tasks");
}

BOOST_AUTO_TEST_CASE(AChangedSpecificationIsNoticed) {
  runStarted(Start, "a", run(0), "other");
  BOOST_TEST(violatedGuarantee() == "only submitted tasks");
}

BOOST_AUTO_TEST_CASE(ARefusedJobThatRunsLaterIsNoticed) {
  jobAnswered(Start, JobId{1}, CallerOutcome::NotRun);
  runStarted(Start, "a", run(0), "spec");
  runEnded("a", run(0), RunEnd::Done);
  checkFinalState(Start);
  BOOST_TEST(violatedGuarantee() == "a refused job has not run");
}

BOOST_AUTO_TEST_CASE(AJobThatRanBeforeItsRefusedRepetitionIsAllowed) {
  runStarted(Start, "a", run(0), "spec");
  runEnded("a", run(0), RunEnd::Done);
  jobAnswered(Start, JobId{1}, CallerOutcome::ConnectionLost);
  jobAnswered(Start, JobId{1}, CallerOutcome::NotRun);
  checkFinalState(Start);
  BOOST_TEST(violations().empty());
}

BOOST_AUTO_TEST_CASE(ARunThatNobodyEndsIsNoticed) {
  runStarted(Start, "a", run(0), "spec");
  checkFinalState(Start);
  BOOST_TEST(violatedGuarantee() == "every run ends");
}

BOOST_AUTO_TEST_CASE(AnEntryThatGoesBackToAnOlderConfigurationIsNoticed) {
  ConfigurationChecker Checker;
  Checker.published(Start, 1, {"desk"});
  Checker.published(Start, 3, {"desk", "new"});
  BOOST_TEST(!Checker.checkAnswer("e#1", Start, "new", true, true));
  BOOST_TEST(Checker.checkAnswer("e#1", Start, "new", false, true).has_value());
  BOOST_TEST(!Checker.checkAnswer("e#2", Start, "new", false, true));
}

BOOST_AUTO_TEST_CASE(AnEntryThatIsBehindForTooLongIsNoticedWhileCalm) {
  ConfigurationChecker Checker;
  Checker.published(Start, 1, {"desk"});
  Checker.published(Start, 3, {"desk", "new"});
  BOOST_TEST(!Checker.checkAnswer("e#1", Start + 1900ms, "new", false, true));
  BOOST_TEST(!Checker.checkAnswer("e#1", Start + 2100ms, "new", false, false));
  BOOST_TEST(Checker.checkAnswer("e#1", Start + 2100ms, "new", false, true)
                 .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
