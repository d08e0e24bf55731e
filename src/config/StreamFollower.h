// Decides which records of the configuration stream to read next and passes
// them to ConfigStateMachine. Does no I/O itself; ConfigWatcher and the command
// line do.
#pragma once

#include "config/ConfigStateMachine.h"
#include "config/LogProtocol.h"

#include <vector>

namespace cyclamencroft {

/// While the version is unknown, reading starts this many records before the
/// end of the log. A snapshot is expected there: entries append one every 64
/// records.
constexpr std::uint64_t TailRecords = 128;

class StreamFollower {
public:
  /// With \p Tail 0 it always reads from the first retained record.
  explicit StreamFollower(std::uint64_t Tail = TailRecords) : m_Tail(Tail) {}

  /// Parameters of the next read.
  LogRead nextRead() const;

  /// Processes the response to nextRead() and returns the resulting decisions.
  std::vector<RecordDecision> process(const LogBatch &Batch);

  /// Processes a response that reports truncation. Returns false when it
  /// contradicts \p Read, because the requested record is not truncated.
  bool process(const LogTruncated &Answer, const LogRead &Read);

  /// Processes a configuration from a peer; see ConfigStateMachine::offer().
  bool offer(const ConfigTransfer &Transfer, std::string &Reason) {
    return m_StateMachine.offer(Transfer, Reason);
  }

  /// True when every record up to the end of the log in the last response was
  /// read and none has to be read again. The version can still be unknown.
  bool isCaughtUp() const {
    return !m_Probing && m_StateMachine.nextOffset() >= m_Next;
  }

  const ConfigStateMachine &stateMachine() const { return m_StateMachine; }

  /// Offsets of the first retained and of the next record in the last response.
  std::uint64_t first() const { return m_First; }
  std::uint64_t next() const { return m_Next; }

private:
  bool isVersionKnown() const {
    return m_StateMachine.isCurrent() && m_StateMachine.currentVersion() > 0;
  }
  bool skipToTail();

  std::uint64_t m_Tail;
  ConfigStateMachine m_StateMachine;
  std::uint64_t m_First = 0;
  std::uint64_t m_Next = 0;
  /// The next read only determines the end of the log.
  bool m_Probing = true;
  /// The records between m_First and the tail were skipped.
  bool m_Skipped = false;
  /// Whether reading may skip to the tail. False after a tail without a usable
  /// snapshot, until the version is known.
  bool m_MaySkip = true;
};

} // namespace cyclamencroft
