// Decides what to read next from the configuration stream and feeds the judge.
// Pure; the watcher and the command line do the I/O.
#pragma once

#include "config/ConfigJudge.h"
#include "config/LogProtocol.h"

#include <vector>

namespace cyclamencroft {

/// A reader without a version starts this many records before the end, where
/// a snapshot is expected: entries append one every 64 records.
constexpr std::uint64_t TailRecords = 128;

class StreamFollower {
public:
  /// \p Tail 0 always reads from the first record kept.
  explicit StreamFollower(std::uint64_t Tail = TailRecords) : m_Tail(Tail) {}

  /// The read to send next.
  LogRead nextRead() const;

  /// Takes the answer to nextRead() and returns the decisions that follow.
  std::vector<Judgement> take(const LogBatch &Batch);

  /// As above. False when the answer contradicts the read of \p Asked.
  bool take(const LogTruncated &Answer, const LogRead &Asked);

  /// Takes a configuration from a peer; see ConfigJudge::offer().
  bool offer(const ConfigTransfer &Transfer, std::string &Reason) {
    return m_Judge.offer(Transfer, Reason);
  }

  /// True when every record of the last answer's log was read and none has to
  /// be read again. The version can still be unknown.
  bool isCaughtUp() const {
    return !m_Probing && m_Judge.nextOffset() >= m_Next;
  }

  const ConfigJudge &judge() const { return m_Judge; }

  /// The log's offsets in the last answer.
  std::uint64_t first() const { return m_First; }
  std::uint64_t next() const { return m_Next; }

private:
  bool knowsVersion() const {
    return m_Judge.isCurrent() && m_Judge.currentVersion() > 0;
  }
  bool skipToTail();

  std::uint64_t m_Tail;
  ConfigJudge m_Judge;
  std::uint64_t m_First = 0;
  std::uint64_t m_Next = 0;
  /// The next answer only tells where the log ends.
  bool m_Probing = true;
  /// The records between m_First and the tail were left out.
  bool m_Skipped = false;
  /// False after a tail without a usable snapshot, until a version is known.
  bool m_MaySkip = true;
};

} // namespace cyclamencroft
