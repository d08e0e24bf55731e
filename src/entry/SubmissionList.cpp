// Updates the links of the submissions in a list.
#include "entry/SubmissionList.h"

namespace cyclamencroft {

void SubmissionList::pushFront(SubmissionTable &Table, SubmissionIndex Index) {
  links(Table, Index) = ListLinks{NoIndex, m_First};
  if (m_First == NoIndex)
    m_Last = Index;
  else
    links(Table, m_First).m_Previous = Index;
  m_First = Index;
}

void SubmissionList::pushBack(SubmissionTable &Table, SubmissionIndex Index) {
  links(Table, Index) = ListLinks{m_Last, NoIndex};
  if (m_Last == NoIndex)
    m_First = Index;
  else
    links(Table, m_Last).m_Next = Index;
  m_Last = Index;
}

void SubmissionList::remove(SubmissionTable &Table, SubmissionIndex Index) {
  const ListLinks Old = links(Table, Index);
  if (Old.m_Previous == NoIndex)
    m_First = Old.m_Next;
  else
    links(Table, Old.m_Previous).m_Next = Old.m_Next;
  if (Old.m_Next == NoIndex)
    m_Last = Old.m_Previous;
  else
    links(Table, Old.m_Next).m_Previous = Old.m_Previous;
  links(Table, Index) = ListLinks{};
}

} // namespace cyclamencroft
