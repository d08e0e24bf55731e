// Metrics of an entry that dispatches leased jobs.
#pragma once

#include "http/HttpRefusals.h"
#include "jobs/JobCore.h"
#include "telemetry/Metrics.h"

namespace cyclamencroft {

void exportStatus(Metrics &Values, const JobCoreStatus &Status);
void exportRefusals(Metrics &Values, const HttpRefusals &Refusals);

} // namespace cyclamencroft
