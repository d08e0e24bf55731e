// Infers from an entry's answers which configuration version it uses, and
// reports rollbacks and late updates. Does no I/O.
#pragma once

#include "core/Ids.h"
#include "core/RuntimeClock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamencroft::soak {

class ConfigurationChecker {
public:
  /// Records that the store has acknowledged \p Version with \p Queues.
  void published(TimePoint At, ConfigVersion Version,
                 std::set<std::string> Queues);

  /// Checks the answer of \p EntryIncarnation to a request for \p Queue that
  /// was sent at \p SentAt. Returns a description of the violation, if any. \p
  /// Undisrupted: neither entry nor store was disrupted recently; only then is
  /// a late update reported.
  std::optional<std::string> checkAnswer(const std::string &EntryIncarnation,
                                         TimePoint SentAt,
                                         const std::string &Queue, bool Exists,
                                         bool Undisrupted);

  /// All queues of all versions so far, to choose probes from.
  const std::set<std::string> &allQueues() const { return m_Queues; }

private:
  struct Published {
    TimePoint m_At;
    ConfigVersion m_Version;
    std::set<std::string> m_Queues;
  };

  std::vector<Published> m_Versions;
  std::set<std::string> m_Queues;
  /// Lowest index into m_Versions that each entry incarnation may be using.
  std::map<std::string, std::size_t> m_MinIndex;
};

} // namespace cyclamencroft::soak
