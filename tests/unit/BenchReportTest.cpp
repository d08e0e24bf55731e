// Tests the figures in the bench report and plots.
#include "bench/BenchReport.h"
#include "bench/BenchPlot.h"

#include <boost/test/unit_test.hpp>

using namespace cyclamencroft;

BOOST_AUTO_TEST_SUITE(BenchReports)

// Guards against a p99 that counts failed calls or mixes requests with jobs.
BOOST_AUTO_TEST_CASE(QuantilesCoverCompletedCallsOfOneKind) {
  std::vector<CallSample> Samples;
  for (int I = 1; I <= 100; ++I)
    Samples.push_back({false, 1, "completed", static_cast<double>(I)});
  Samples.push_back({false, 1, "unknown", 1000});
  Samples.push_back({true, 20, "completed", 2000});
  BenchRow Row;
  summarize(Samples, Row);
  BOOST_TEST(Row.m_Requests.m_P50 == 50.0);
  BOOST_TEST(Row.m_Requests.m_P99 == 99.0);
  BOOST_TEST(Row.m_Jobs.m_P50 == 2000.0);
  BOOST_TEST(Row.m_UsefulTasks == 120U);
}

// Guards against counting messages of failed tasks as useful.
BOOST_AUTO_TEST_CASE(MessagesBeyondTwoPerTaskCountAsWasted) {
  BenchRow Row;
  Row.m_UsefulTasks = 10;
  Row.m_Messages = {12, 11, 1, 6};
  BOOST_TEST(Row.wastedPerTask() == 1.0);
  const std::string Plot =
      plotSvg(boost::span<const BenchRow>(&Row, 1), PlotMeasure::WastedPerTask);
  BOOST_TEST(Plot.find(">1.00</text>") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
