// Agent reports for operators.
#include "entry/EntryCoreImpl.h"

#include <algorithm>

namespace cyclamencroft {

AgentReport EntryCore::Impl::reportOn(const AgentRow &Row) const {
  AgentReport Report;
  Report.m_Id = Row.m_Id;
  Report.m_Service = Row.m_Hello.m_Service;
  Report.m_FailureDomain = Row.m_Hello.m_FailureDomain;
  Report.m_Rack = Row.m_Hello.m_Rack;
  Report.m_Endpoint = Row.m_Hello.m_EndpointAddress;
  Report.m_Slots = Row.m_Hello.m_Slots;
  Report.m_Outstanding = Row.m_Ledger.outstanding();
  Report.m_State = Row.stateName();
  // The router's health state applies only to an agent that accepts work.
  if (Row.takesWork())
    Report.m_State = m_Router.healthName(*Row.m_Route, m_Now);
  return Report;
}

std::vector<AgentReport> EntryCore::Impl::agents() const {
  std::vector<AgentReport> Reports;
  Reports.reserve(m_RowById.size());
  for (const auto &[Id, Index] : m_RowById)
    Reports.push_back(reportOn(m_Rows[Index]));
  std::sort(Reports.begin(), Reports.end(),
            [](const AgentReport &A, const AgentReport &B) {
              return A.m_Id < B.m_Id;
            });
  return Reports;
}

std::vector<AgentReport> EntryCore::agents() const { return m_Impl->agents(); }

} // namespace cyclamencroft
