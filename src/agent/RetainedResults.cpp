// Bounded store of finished results.
#include "agent/RetainedResults.h"

namespace cyclamencroft {

void RetainedResults::store(const TaskResult &Result) {
  m_Results.emplace(Result.m_Sequence, Result);
  m_BodyBytes += bytesOf(Result.m_Body).size();
  while (m_BodyBytes > MaxBodyBytes)
    drop(m_Results.begin());
}

const TaskResult *RetainedResults::find(Sequence Number) const {
  const auto Found = m_Results.find(Number);
  return Found == m_Results.end() ? nullptr : &Found->second;
}

void RetainedResults::dropBelow(Sequence Floor) {
  while (!m_Results.empty() && m_Results.begin()->first < Floor)
    drop(m_Results.begin());
}

void RetainedResults::drop(std::map<Sequence, TaskResult>::iterator Position) {
  m_BodyBytes -= bytesOf(Position->second.m_Body).size();
  m_Results.erase(Position);
}

} // namespace cyclamencroft
