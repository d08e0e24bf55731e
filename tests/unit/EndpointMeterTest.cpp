// Measurement of an endpoint's quality, by which entries eject slow or failing
// endpoints.
#include "runs/EndpointMeter.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

struct Fixture : EndpointMeter {
  TimePoint m_Now{1h};

  void done(int Runs, Duration RunTime) {
    for (int Run = 0; Run < Runs; ++Run)
      runDone(m_Now += 10ms, {RunTime, 100ms});
  }
  void failed(int Runs) {
    for (int Run = 0; Run < Runs; ++Run)
      runFailed(m_Now += 10ms);
  }
  EndpointQuality quality(const std::vector<RunProgress> &Running = {}) const {
    return EndpointMeter::quality(m_Now, Running);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndpointMeters, Fixture)

// Guards against a quality derived from a single run whose estimate was far
// off.
BOOST_AUTO_TEST_CASE(FewRunsGiveNoMeasurement) {
  done(3, 800ms);
  BOOST_TEST(quality().m_RunTimePercent == 0U);
  done(1, 800ms);
  BOOST_TEST(quality().m_RunTimePercent == 800U);
}

// Guards against a slowdown that earlier runs mask in the average for seconds.
BOOST_AUTO_TEST_CASE(AFewSlowRunsOutweighEarlierOnes) {
  done(50, 100ms);
  done(5, 800ms);
  BOOST_TEST(quality().m_RunTimePercent > 200U);
}

// Guards against an endpoint that has become slow and receives work until its
// first slow runs end.
BOOST_AUTO_TEST_CASE(RunsThatTakeTooLongCountBeforeTheyEnd) {
  done(12, 100ms);
  const std::vector<RunProgress> Running(6, RunProgress{500ms, 100ms});
  BOOST_TEST(quality(Running).m_RunTimePercent > 200U);
  BOOST_TEST(quality().m_RunTimePercent == 100U);
}

// Guards against runs that have just started and lower the average of a slow
// endpoint.
BOOST_AUTO_TEST_CASE(RunsWithinTheirUsualTimeDoNotCount) {
  done(12, 300ms);
  const std::vector<RunProgress> Running(10, RunProgress{20ms, 100ms});
  BOOST_TEST(quality(Running).m_RunTimePercent == 300U);
}

// Guards against a slowdown that is missed because slow runs are stopped before
// they end, and against an average that early stops by callers distort.
BOOST_AUTO_TEST_CASE(AStoppedRunCountsWhenItTookLongerThanUsual) {
  done(12, 100ms);
  for (int Run = 0; Run < 6; ++Run)
    runStopped(m_Now += 10ms, {20ms, 100ms});
  BOOST_TEST(quality().m_RunTimePercent == 100U);
  for (int Run = 0; Run < 6; ++Run)
    runStopped(m_Now += 10ms, {500ms, 100ms});
  BOOST_TEST(quality().m_RunTimePercent > 180U);
}

// Guards against a recovered endpoint that stays ejected until 12 trial runs
// have ended.
BOOST_AUTO_TEST_CASE(OneRunAfterAPauseShowsRecovery) {
  done(12, 800ms);
  m_Now += 1500ms;
  done(1, 100ms);
  BOOST_TEST(quality().m_RunTimePercent == 100U);
}

BOOST_AUTO_TEST_CASE(OneSlowRunAfterAPauseConfirmsASlowEndpoint) {
  done(12, 800ms);
  m_Now += 1500ms;
  done(1, 700ms);
  BOOST_TEST(quality().m_RunTimePercent == 700U);
}

// Guards against an endpoint that fails only some of its runs and therefore
// never reaches a number of consecutive failures.
BOOST_AUTO_TEST_CASE(TheShareOfFailedRunsIsMeasured) {
  for (int Round = 0; Round < 10; ++Round) {
    done(1, 100ms);
    failed(1);
  }
  BOOST_TEST(quality().m_FailedPercent >= 40U);
  BOOST_TEST(quality().m_FailedPercent <= 60U);
}

// Guards against ejecting a healthy endpoint for one failure after a pause.
BOOST_AUTO_TEST_CASE(AFailureAfterAPauseDoesNotCountAgainstAHealthyEndpoint) {
  done(12, 100ms);
  m_Now += 5s;
  failed(1);
  BOOST_TEST(quality().m_FailedPercent == 0U);
}

BOOST_AUTO_TEST_CASE(AFailureAfterAPauseConfirmsAnUnhealthyEndpoint) {
  failed(12);
  m_Now += 1500ms;
  failed(1);
  BOOST_TEST(quality().m_FailedPercent == 100U);
  m_Now += 1500ms;
  done(1, 100ms);
  BOOST_TEST(quality().m_FailedPercent == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
