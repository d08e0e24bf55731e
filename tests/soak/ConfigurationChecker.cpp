// Each answer narrows the set of versions that an entry may be using.
#include "soak/ConfigurationChecker.h"

#include "soak/SoakSettings.h"

#include <utility>

namespace cyclamencroft::soak {

void ConfigurationChecker::published(TimePoint At, ConfigVersion Version,
                                     std::set<std::string> Queues) {
  m_Queues.insert(Queues.begin(), Queues.end());
  m_Versions.push_back({At, Version, std::move(Queues)});
}

std::optional<std::string>
ConfigurationChecker::checkAnswer(const std::string &EntryIncarnation,
                                  TimePoint SentAt, const std::string &Queue,
                                  bool Exists, bool Undisrupted) {
  std::size_t &MinIndex = m_MinIndex[EntryIncarnation];
  std::size_t DueIndex = 0;
  for (std::size_t Index = 0; Index < m_Versions.size(); ++Index)
    if (m_Versions[Index].m_At + Bounds::MaxConfigurationDelay < SentAt)
      DueIndex = Index;
  for (std::size_t Index = MinIndex; Index < m_Versions.size(); ++Index) {
    if ((m_Versions[Index].m_Queues.count(Queue) != 0) != Exists)
      continue;
    // A later version may give the same answer, so this is a lower bound.
    MinIndex = Index;
    bool InTime = Index >= DueIndex;
    for (std::size_t Later = Index; Later < m_Versions.size(); ++Later)
      InTime =
          InTime || (Later >= DueIndex &&
                     (m_Versions[Later].m_Queues.count(Queue) != 0) == Exists);
    if (Undisrupted && !InTime)
      return EntryIncarnation + " still uses version " +
             std::to_string(m_Versions[Index].m_Version) + ", version " +
             std::to_string(m_Versions[DueIndex].m_Version) + " is due";
    return std::nullopt;
  }
  return EntryIncarnation + " rolled back to before version " +
         std::to_string(m_Versions.empty() ? 0
                                           : m_Versions[MinIndex].m_Version);
}

} // namespace cyclamencroft::soak
