// Queues of one version of the configuration, found by host name and path.
#pragma once

#include "core/Ids.h"
#include "jobs/JobDeclaration.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

struct Queue {
  std::string m_Host;
  std::string m_PathPrefix;
  QueuePolicy m_Policy;
  /// Setting of the queue that this dispatcher does not support; empty for
  /// none.
  std::string m_UnsupportedFeature;
};

using QueuePtr = std::shared_ptr<const Queue>;

/// A queue and the part of the path after its prefix.
struct QueueMatch {
  QueuePtr m_Queue;
  std::string_view m_PathSuffix;
};

class QueueTable {
public:
  QueueTable(ConfigVersion Version, std::vector<Queue> Queues);

  ConfigVersion version() const { return m_Version; }
  std::size_t size() const { return m_Size; }

  /// Finds the queue of \p Host whose prefix of \p Path is the longest; nothing
  /// when none matches.
  std::optional<QueueMatch> find(std::string_view Host,
                                 std::string_view Path) const;

private:
  ConfigVersion m_Version;
  std::size_t m_Size;
  /// Queues of one host, longest prefix first.
  std::map<std::string, std::vector<QueuePtr>, std::less<>> m_ByHost;
};

using QueueTablePtr = std::shared_ptr<const QueueTable>;

} // namespace cyclamencroft
