// Names of the metrics; operators' tools read them.
#include "JobEntryMetrics.h"

#include <string>

namespace cyclamencroft {

void exportStatus(Metrics &Values, const JobCoreStatus &Status) {
  Values.set("agents", Status.m_Agents);
  Values.set("endpoints_active", Status.m_ActiveEndpoints);
  Values.set("endpoints_evacuated", Status.m_EvacuatedEndpoints);
  Values.set("domains_evacuated", Status.m_EvacuatedDomains);
  Values.set("jobs", Status.m_Jobs);
  Values.set("jobs_waiting", Status.m_WaitingJobs);
  Values.set("runs", Status.m_Runs);
  Values.set("jobs_offered_total", Status.m_JobsOffered);
  Values.set("jobs_completed_total", Status.m_JobsCompleted);
  Values.set("jobs_failed_total", Status.m_JobsFailed);
  Values.set("jobs_not_run_total", Status.m_JobsNotRun);
  Values.set("jobs_given_up_total", Status.m_JobsGivenUp);
  Values.set("jobs_cancelled_total", Status.m_JobsCancelled);
  Values.set("starts_total", Status.m_Starts);
  Values.set("start_refusals_total", Status.m_Refusals);
  Values.set("retries_total", Status.m_Retries);
}

void exportRefusals(Metrics &Values, const HttpRefusals &Refusals) {
  for (const HttpRefusal Cause : AllHttpRefusals)
    Values.set("requests_refused_" + std::string(toString(Cause)) + "_total",
               Refusals.count(Cause));
}

} // namespace cyclamencroft
