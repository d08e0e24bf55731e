// Doubly linked list of submissions through links that they hold themselves, so
// that removal from the middle is constant time and nothing is allocated.
#pragma once

#include "entry/SubmissionTable.h"

namespace cyclamencroft {

class SubmissionList {
public:
  /// \p Links selects the links that this list uses.
  explicit SubmissionList(ListLinks QueuePlace::*Links) : m_Links(Links) {}

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

  ListLinks QueuePlace::*m_Links;
  // Invariant: both are NoIndex or neither is.
  SubmissionIndex m_First = NoIndex;
  SubmissionIndex m_Last = NoIndex;
};

} // namespace cyclamencroft
