// How much slower than usual an agent is, from its run times and from what it
// has not finished.
#pragma once

#include "entry/EndpointTable.h"

namespace cyclamencroft {

/// Multiple of the service's mean run time that the agent's tasks seem to take;
/// at least 1.
double slowdown(const EndpointRow &Row, const ServiceGroup &Service,
                TimePoint Now);

/// Multiple from which an agent counts as a straggler.
constexpr double StragglerRatio = 2.0;

} // namespace cyclamencroft
