// Lookup of queues by host name and path.
#include "jobs/QueueTable.h"

#include <algorithm>

namespace cyclamencroft {

QueueTable::QueueTable(ConfigVersion Version, std::vector<Queue> Queues)
    : m_Version(Version), m_Size(Queues.size()) {
  for (Queue &Each : Queues) {
    std::vector<QueuePtr> &HostQueues = m_ByHost[Each.m_Host];
    HostQueues.push_back(std::make_shared<const Queue>(std::move(Each)));
  }
  const auto Longer = [](const QueuePtr &A, const QueuePtr &B) {
    return A->m_PathPrefix.size() > B->m_PathPrefix.size();
  };
  for (auto &[Host, HostQueues] : m_ByHost)
    std::stable_sort(HostQueues.begin(), HostQueues.end(), Longer);
}

std::optional<QueueMatch> QueueTable::find(std::string_view Host,
                                           std::string_view Path) const {
  const auto Found = m_ByHost.find(Host.substr(0, Host.find(':')));
  if (Found == m_ByHost.end())
    return std::nullopt;
  for (const QueuePtr &Each : Found->second) {
    const std::string &Prefix = Each->m_PathPrefix;
    if (Path.substr(0, Prefix.size()) == Prefix)
      return QueueMatch{Each, Path.substr(Prefix.size())};
  }
  return std::nullopt;
}

} // namespace cyclamencroft
