// Bar chart of a bench as an SVG file.
#pragma once

#include "bench/BenchReport.h"

#include <boost/core/span.hpp>

#include <string>

namespace cyclamencroft {

/// What the bars show.
enum class PlotMeasure {
  P99OverIdeal,  ///< Requests' p99 of response time over the ideal.
  WastedPerTask, ///< Messages beyond one dispatch and one result a task.
};

/// One group of bars for each deployment and scenario, one bar for each policy.
/// Logarithmic, since baselines differ by factors. Rows keep their order.
std::string plotSvg(boost::span<const BenchRow> Rows, PlotMeasure Measure);

} // namespace cyclamencroft
