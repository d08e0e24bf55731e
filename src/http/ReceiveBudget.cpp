// The cost of a request is its bytes times the time since its first byte: a
// small one that has just begun comes last, a large one that makes no progress
// first.
#include "http/ReceiveBudget.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Refusals go on until this share of the budget is free, so that requests are
/// not searched for each received piece.
constexpr std::size_t FreedShareDivisor = 8;

} // namespace

std::vector<ReceiveBudget::Connection> ReceiveBudget::receive(Connection Source,
                                                              TimePoint Now,
                                                              std::size_t Bytes,
                                                              bool Complete) {
  Request &Current = m_Requests.try_emplace(Source, Request{Now}).first->second;
  m_Bytes += Bytes;
  m_Bytes -= Current.m_Bytes;
  Current.m_Bytes = Bytes;
  Current.m_Complete = Complete;
  std::vector<Connection> Refused;
  if (m_Bytes <= m_MaxBytes)
    return Refused;
  const std::size_t Target = m_MaxBytes - m_MaxBytes / FreedShareDivisor;
  while (m_Bytes > Target) {
    const auto Selected = mostCostly(Now);
    if (Selected == m_Requests.end())
      break;
    Refused.push_back(Selected->first);
    erase(Selected);
  }
  return Refused;
}

ReceiveBudget::Requests::iterator ReceiveBudget::mostCostly(TimePoint Now) {
  const auto CostOf = [Now](const Request &Each) {
    const auto Age = static_cast<double>((Now - Each.m_StartedAt).count() + 1);
    return Each.m_Complete ? -1 : static_cast<double>(Each.m_Bytes) * Age;
  };
  const auto Selected =
      std::max_element(m_Requests.begin(), m_Requests.end(),
                       [&CostOf](const auto &A, const auto &B) {
                         return CostOf(A.second) < CostOf(B.second);
                       });
  return Selected == m_Requests.end() || Selected->second.m_Complete
             ? m_Requests.end()
             : Selected;
}

void ReceiveBudget::release(Connection Source) {
  const auto Found = m_Requests.find(Source);
  if (Found != m_Requests.end())
    erase(Found);
}

void ReceiveBudget::erase(Requests::iterator Selected) {
  m_Bytes -= Selected->second.m_Bytes;
  m_Requests.erase(Selected);
}

} // namespace cyclamencroft
