// Draws bench results as an SVG bar chart.
#pragma once

#include "bench/BenchReport.h"

#include <boost/core/span.hpp>

#include <string>

namespace cyclamencroft {

/// Quantity that the bars show.
enum class PlotMeasure {
  P99OverIdeal,  ///< p99 of request response time divided by the ideal.
  WastedPerTask, ///< Messages beyond one dispatch and one result per task.
};

/// Returns an SVG document with one group of bars for each deployment and
/// scenario, and one bar for each policy. The scale is logarithmic because the
/// baselines differ by factors. Rows keep their order.
std::string plotSvg(boost::span<const BenchRow> Rows, PlotMeasure Measure);

} // namespace cyclamencroft
