// Slowdown of an agent relative to its service, from its run times and its
// overdue tasks.
#pragma once

#include "entry/EndpointTable.h"

namespace cyclamencroft {

/// Estimated ratio of the agent's run times to the mean run time of the
/// service; at least 1, and 1 when the difference is within the normal
/// variation.
double slowdown(const EndpointRow &Row, const ServiceGroup &Service,
                TimePoint Now);

/// Slowdown from which an agent counts as a straggler.
constexpr double StragglerRatio = 2.0;

} // namespace cyclamencroft
