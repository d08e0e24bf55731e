// Adds, recycles and looks up submissions.
#include "entry/SubmissionTable.h"

#include <utility>

namespace cyclamencroft {
namespace {

// A recycled submission keeps buffers of up to this many elements. Larger ones,
// of jobs, are freed, so that unused elements of the table stay small.
constexpr std::size_t MaxKeptCapacity = 4;

template <class T> std::vector<T> recycled(std::vector<T> &Old) {
  if (Old.capacity() > MaxKeptCapacity)
    return {};
  Old.clear();
  return std::move(Old);
}

} // namespace

SubmissionIndex SubmissionTable::add(const RequestId &Request,
                                     CallerId Caller) {
  const SubmissionIndex Index = m_Slab.add();
  Submission &Added = m_Slab[Index];
  Added.m_Request = Request;
  Added.m_Caller = Caller;
  m_ById.emplace(Request, Index);
  m_ByCaller.emplace(Caller, Index);
  return Index;
}

void SubmissionTable::remove(SubmissionIndex Index) {
  Submission &Old = m_Slab[Index];
  m_ById.erase(Old.m_Request);
  m_ByCaller.erase(Old.m_Caller);
  Submission Empty;
  Empty.m_Tasks = recycled(Old.m_Tasks);
  Empty.m_Waiting = recycled(Old.m_Waiting);
  Old = std::move(Empty);
  m_Slab.remove(Index);
}

SubmissionIndex SubmissionTable::find(const RequestId &Request) const {
  const auto Found = m_ById.find(Request);
  return Found == m_ById.end() ? NoIndex : Found->second;
}

SubmissionIndex SubmissionTable::find(CallerId Caller) const {
  const auto Found = m_ByCaller.find(Caller);
  return Found == m_ByCaller.end() ? NoIndex : Found->second;
}

} // namespace cyclamencroft
