// Table of all requests and jobs in progress, with lookup by index, id and
// caller.
#pragma once

#include "entry/Submission.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace cyclamencroft {

class SubmissionTable {
public:
  /// Adds an empty submission. \p Request must not be in use.
  SubmissionIndex add(const RequestId &Request, CallerId Caller);
  void remove(SubmissionIndex Index);

  Submission &operator[](SubmissionIndex Index) { return m_Slab[Index]; }

  /// Index of a submission; NoIndex when there is none.
  SubmissionIndex find(const RequestId &Request) const;
  SubmissionIndex find(CallerId Caller) const;

  std::size_t size() const { return m_Slab.size(); }

private:
  Slab<Submission> m_Slab;
  // Invariant: both maps hold exactly the submissions in use.
  boost::unordered_flat_map<RequestId, SubmissionIndex, RequestIdHash> m_ById;
  boost::unordered_flat_map<CallerId, SubmissionIndex> m_ByCaller;
};

} // namespace cyclamencroft
