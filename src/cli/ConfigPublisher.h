// Publishes a change on the configuration stream and reads back the decision on
// it.
#pragma once

#include "config/StreamFollower.h"
#include "core/Error.h"
#include "core/RuntimeClock.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// Reads the configuration stream and decides which changes are accepted.
class StreamReader {
public:
  explicit StreamReader(std::string LogAddress);

  /// Reads to the end of the log; the log delays its response by up to \p Wait
  /// when there is nothing to read. Returns nothing on success.
  std::optional<Error> catchUp(Duration Wait = {});

  /// As catchUp(), and waits up to \p MaxWait for a snapshot while the version
  /// in effect can't be derived from the log.
  std::optional<Error> catchUpToVersion(Duration MaxWait);

  const ConfigStateMachine &stateMachine() const {
    return m_Follower.stateMachine();
  }

  /// Final decision on a change; null while there is none.
  const RecordDecision *decisionOn(const std::string &ChangeId) const;
  /// Change that was accepted as \p Version; null when it was not read.
  const RecordDecision *acceptedChange(ConfigVersion Version) const;

private:
  std::string m_LogAddress;
  StreamFollower m_Follower;
  std::vector<RecordDecision> m_Decisions;
};

/// Default timeout for a snapshot and for the decision on a change. Entries
/// append a missing snapshot within 1 s.
constexpr std::chrono::seconds StreamTimeout{10};

enum class PublishStatus {
  Accepted,     ///< In effect from m_Version on.
  Rejected,     ///< Invalid for the version in effect.
  LostRace,     ///< Another change with the same base was accepted first.
  Unknown,      ///< It may still come into effect.
  NotReachable, ///< Nothing was sent.
};

struct PublishOutcome {
  PublishStatus m_Status = PublishStatus::Unknown;
  /// Last known version in effect; 0 when none is known.
  ConfigVersion m_Version = 0;
  std::string m_ChangeId;
  /// Human-readable description, one sentence.
  std::string m_Detail;
};

struct PublishRequest {
  std::string m_LogAddress;
  /// Version that the change is based on; the one in effect when absent.
  std::optional<ConfigVersion> m_Base;
  std::string m_Author;
  /// DocumentChange or PresetSwitch; publish() fills in its header.
  ConfigRecord m_Change;
  /// Timeout for determining the version in effect before the append, and again
  /// for the decision on the change after it.
  Duration m_Timeout{StreamTimeout};
};

/// Appends at most once. After a lost reply the outcome is determined by
/// reading the log for the change id.
PublishOutcome publish(const PublishRequest &Request);

} // namespace cyclamencroft
