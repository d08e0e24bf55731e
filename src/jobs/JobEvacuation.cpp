// Evacuated failure domains: their endpoints get no runs, and admission knows
// at once that their capacity is gone.
#include "jobs/JobCoreImpl.h"

#include <algorithm>
#include <string>

namespace cyclamencroft {

void JobCore::Impl::onEvent(const EvacuationsRead &Event) {
  adoptEvacuations(Event.m_View, "store");
}

void JobCore::Impl::onMessage(RunnerIndex Index,
                              const EvacuationReport &Message) {
  adoptEvacuations(Message.m_View, m_Rows[Index].m_AgentId);
}

void JobCore::Impl::adoptEvacuations(const EvacuationView &View,
                                     std::string_view Source) {
  if (!View.isNewerThan(m_Evacuations))
    return;
  const std::uint64_t Before = Placement::capacityInService(m_Rows);
  const EvacuationView Previous = std::exchange(m_Evacuations, View);
  std::size_t Evacuated = 0;
  for (RunnerRow &Row : m_Rows) {
    markEvacuated(Row);
    Evacuated += Row.m_DomainEvacuated ? 1 : 0;
    send(Row, EvacuationReport{m_Evacuations});
  }
  const std::uint64_t After = Placement::capacityInService(m_Rows);
  m_Forecast.scaleRate(After, Before);
  m_DispatchNeeded = true;
  log("evacuations-adopted",
      {{"source", std::string(Source)},
       {"offset", std::to_string(View.m_Offset)},
       {"offset-before", std::to_string(Previous.m_Offset)},
       {"domains", describe(View)},
       {"domains-before", describe(Previous)},
       {"endpoints-evacuated", std::to_string(Evacuated)},
       {"milli-cores", std::to_string(After)},
       {"milli-cores-before", std::to_string(Before)}});
  refuseUnplaceable();
}

void JobCore::Impl::markEvacuated(RunnerRow &Row) {
  Row.m_DomainEvacuated =
      m_Evacuations.contains(Row.m_Endpoint.m_FailureDomain);
}

std::uint64_t JobCore::Impl::reusableMilliCores() const {
  std::uint64_t MilliCores = m_MilliCoresInUse;
  for (const RunnerRow &Row : m_Rows)
    if (Row.isEvacuated())
      for (const auto &[Name, Run] : Row.m_Runs)
        MilliCores -= Run.m_Need.m_MilliCores;
  return MilliCores;
}

void JobCore::Impl::refuseUnplaceable() {
  const bool Any =
      std::any_of(m_Rows.begin(), m_Rows.end(),
                  [](const RunnerRow &Row) { return Row.isEvacuated(); });
  if (!Any || m_Now < m_DiscoveryEndsAt)
    return;
  std::vector<JobIndex> Unplaceable;
  for (const auto &[OrderKey, Index] : m_Waiting) {
    const JobRecord &Job = m_Jobs[Index];
    for (std::size_t Number = 0; Number < Job.m_Steps.size(); ++Number)
      if (Job.m_Steps[Number].m_Waiting > 0 &&
          Placement::fit(m_Rows, Job.m_Queue->m_Policy.m_Service,
                         Job.m_Declaration.m_Steps[Number]) == Fit::Evacuated) {
        Unplaceable.push_back(Index);
        break;
      }
  }
  for (const JobIndex Index : Unplaceable)
    giveUp(Index, EvacuatedReason);
}

} // namespace cyclamencroft
