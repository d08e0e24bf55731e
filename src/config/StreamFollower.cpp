// While the version is unknown, the follower reads one record to find the end
// of the log, then reads the tail, and reads all retained records only if the
// tail has no usable snapshot.
#include "config/StreamFollower.h"

namespace cyclamencroft {

LogRead StreamFollower::nextRead() const {
  return {m_StateMachine.nextOffset(), m_Probing ? 1 : MaxRecordsPerRead};
}

bool StreamFollower::skipToTail() {
  if (m_Tail == 0 || !m_MaySkip || isVersionKnown() ||
      m_Next <= m_StateMachine.nextOffset() + m_Tail)
    return false;
  m_StateMachine.restartAt(m_Next - m_Tail);
  m_Skipped = true;
  return true;
}

std::vector<RecordDecision> StreamFollower::process(const LogBatch &Batch) {
  m_First = Batch.m_First;
  m_Next = Batch.m_Next;
  const bool Probed = std::exchange(m_Probing, false);
  if (Probed && skipToTail())
    return {};
  std::vector<RecordDecision> Decisions;
  for (const LogRecord &Record : Batch.m_Records)
    for (RecordDecision &Value :
         m_StateMachine.consume(Record.m_Offset, Record.m_Data))
      Decisions.push_back(std::move(Value));
  if (isVersionKnown()) {
    m_MaySkip = true;
    m_Skipped = false;
  } else if (m_Skipped && isCaughtUp()) {
    m_MaySkip = false;
    m_Skipped = false;
    m_StateMachine.restartAt(m_First);
  }
  return Decisions;
}

bool StreamFollower::process(const LogTruncated &Answer, const LogRead &Read) {
  if (Answer.m_First <= Read.m_From)
    return false;
  m_StateMachine.truncatedTo(Answer.m_First);
  m_Probing = true;
  return true;
}

} // namespace cyclamencroft
