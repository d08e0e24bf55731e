// Decides which changes of the configuration stream are accepted. Deterministic
// and without I/O: every process that consumes the same records reaches the
// same decisions.
#pragma once

#include "config/ConfigRecord.h"
#include "config/Configuration.h"
#include "core/Messages.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace cyclamencroft {

enum class Decision : std::uint8_t {
  Accepted, ///< The change is the version in effect from this record on.
  Rejected, ///< The change never comes into effect.
  Ignored,  ///< No effect: a snapshot, or a record that was already read.
  Held,     ///< The version before it is still unknown; decided later.
};

/// The decision on one record.
struct RecordDecision {
  Decision m_Decision = Decision::Ignored;
  std::uint64_t m_Offset = 0;
  /// Empty for snapshots and malformed records.
  ChangeHeader m_Header;
  /// One sentence; empty when accepted.
  std::string m_Reason;
  /// Version in effect after the record; 0 while it is not known.
  ConfigVersion m_Version = 0;
};

/// Position in the stream of the newest snapshot record that was read.
struct SnapshotPosition {
  ConfigVersion m_Version = 0;
  /// The snapshot covers all records below this offset.
  std::uint64_t m_Offset = 0;
};

class ConfigStateMachine {
public:
  ConfigStateMachine();

  /// Consumes the record at \p Offset. A gap before it makes the version in
  /// effect unknown until the next usable snapshot. Returns the decisions on
  /// held records that this record made possible, then the one on the record
  /// itself.
  std::vector<RecordDecision> consume(std::uint64_t Offset,
                                      const std::string &Text);

  /// Reports that the log retains no records below \p First. Truncated records
  /// that were not read form a gap.
  void truncatedTo(std::uint64_t First);

  /// Restarts reading at \p First. The version in effect there is unknown,
  /// except at offset 0; the adopted state is kept.
  void restartAt(std::uint64_t First);

  /// Processes a configuration from a peer. Returns false when its version is
  /// not above the adopted one, or when it is invalid or contradicts the
  /// records read; \p Reason states which.
  bool offer(const ConfigTransfer &Transfer, std::string &Reason);

  /// Offset of the next record to read.
  std::uint64_t nextOffset() const { return m_Next; }

  /// True when the version in effect at nextOffset() is known, so that changes
  /// can be decided.
  bool isCurrent() const { return m_Current != nullptr; }

  /// State with the highest known version, null for none. After a gap it may be
  /// older than the version in effect at nextOffset(), but never newer.
  ConfigStatePtr adopted() const { return m_Adopted; }

  /// Version in effect at nextOffset(); 0 when none was ever accepted or
  /// isCurrent() is false.
  ConfigVersion currentVersion() const;

  const std::optional<SnapshotPosition> &newestSnapshot() const {
    return m_NewestSnapshot;
  }

  /// Snapshot of the version in effect at nextOffset(). Requires isCurrent()
  /// and currentVersion() above 0.
  Snapshot makeSnapshot() const;

private:
  struct HeldRecord {
    std::uint64_t m_Offset;
    ConfigRecord m_Record;
    std::size_t m_Bytes;
  };

  RecordDecision decide(std::uint64_t Offset, const DocumentChange &Change);
  RecordDecision decide(std::uint64_t Offset, const PresetSwitch &Change);
  RecordDecision decideSnapshot(std::uint64_t Offset, const Snapshot &Record,
                                std::vector<RecordDecision> &HeldDecisions);
  /// True for a snapshot that can't result from the same records as the adopted
  /// state.
  bool contradicts(const Snapshot &Record) const;
  RecordDecision rejectStale(std::uint64_t Offset,
                             const ChangeHeader &Header) const;
  RecordDecision accept(std::uint64_t Offset, const ChangeHeader &Header,
                        ConfigState State);
  RecordDecision hold(std::uint64_t Offset, ConfigRecord Record,
                      std::size_t Bytes);
  void start(ConfigStatePtr State, std::uint64_t Offset,
             std::vector<RecordDecision> &HeldDecisions);
  void adopt(const ConfigStatePtr &State);

  /// State at m_Next; null when it is unknown. Before the first accepted change
  /// it has version 0 and no document.
  ConfigStatePtr m_Current;
  /// State with the highest known version. Invariant: its version never
  /// decreases.
  ConfigStatePtr m_Adopted;
  /// Every record from this offset to m_Next was read or is covered by a
  /// snapshot.
  std::uint64_t m_Start = 0;
  std::uint64_t m_Next = 0;
  /// Records from m_Start on, kept while m_Current is null. Invariant:
  /// m_HeldBytes is the sum of their sizes.
  std::deque<HeldRecord> m_Held;
  std::size_t m_HeldBytes = 0;
  std::optional<SnapshotPosition> m_NewestSnapshot;
};

} // namespace cyclamencroft
