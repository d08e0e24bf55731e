// Publishes a change on the configuration stream and reads back what became of
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

/// Reads the stream and judges it.
class StreamReader {
public:
  explicit StreamReader(std::string LogAddress);

  /// Reads up to the end of the log; the log waits up to \p Wait when there is
  /// nothing to read. Nothing on success.
  std::optional<Error> catchUp(Duration Wait = {});

  /// As catchUp(), and waits up to \p Longest for a snapshot while the log
  /// doesn't tell the version in effect.
  std::optional<Error> catchUpToVersion(Duration Longest);

  const ConfigJudge &judge() const { return m_Follower.judge(); }

  /// The final decision on a change; null while there is none.
  const Judgement *decisionOn(const std::string &ChangeId) const;
  /// The change that made \p Version; null when it was not read.
  const Judgement *makerOf(ConfigVersion Version) const;

private:
  std::string m_LogAddress;
  StreamFollower m_Follower;
  std::vector<Judgement> m_Decisions;
};

/// Longest wait for a snapshot and for the decision on a change. Entries append
/// a snapshot that is missing within a second.
constexpr std::chrono::seconds StreamPatience{10};

enum class PublishEnd {
  Accepted,     ///< In effect from m_Version on.
  Rejected,     ///< Not valid on the version in effect.
  LostRace,     ///< Another change made m_Version first.
  Unknown,      ///< It may still come into effect.
  NotReachable, ///< Nothing was sent.
};

struct PublishOutcome {
  PublishEnd m_End = PublishEnd::Unknown;
  /// Version in effect as far as it is known.
  ConfigVersion m_Version = 0;
  std::string m_ChangeId;
  /// One sentence for people.
  std::string m_Detail;
};

struct PublishRequest {
  std::string m_LogAddress;
  /// Version that the change was made from; the one in effect when absent.
  std::optional<ConfigVersion> m_Base;
  std::string m_Author;
  /// DocumentChange or PresetSwitch; its header is filled in.
  ConfigRecord m_Change;
  /// How long to wait for the version in effect before the append, and for the
  /// change after it.
  Duration m_Patience{StreamPatience};
};

/// Appends once at most. A lost reply is resolved by re-reading the log for
/// the change id.
PublishOutcome publish(const PublishRequest &Request);

} // namespace cyclamencroft
