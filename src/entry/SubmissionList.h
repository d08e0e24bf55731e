// Intrusive doubly linked list of submissions: removal from the middle takes
// constant time, and no operation allocates.
#pragma once

#include "entry/SubmissionTable.h"

namespace cyclamencroft {

class SubmissionList {
public:
  /// \p Links selects the member of the submissions that holds their links.
  explicit SubmissionList(ListLinks QueuePosition::*Links) : m_Links(Links) {}

  /// First submission; NoIndex when the list is empty.
  SubmissionIndex front() const { return m_First; }
  bool empty() const { return m_First == NoIndex; }

  void pushFront(SubmissionTable &Table, SubmissionIndex Index);
  void pushBack(SubmissionTable &Table, SubmissionIndex Index);

  /// \p Index must be in this list.
  void remove(SubmissionTable &Table, SubmissionIndex Index);

private:
  ListLinks &links(SubmissionTable &Table, SubmissionIndex Index) const {
    return Table[Index].m_Queue.*m_Links;
  }

  ListLinks QueuePosition::*m_Links;
  // Invariant: both are NoIndex or neither is.
  SubmissionIndex m_First = NoIndex;
  SubmissionIndex m_Last = NoIndex;
};

} // namespace cyclamencroft
