// Results of one entry's tasks, kept so that they can be sent again after the
// link was lost.
#pragma once

#include "core/Messages.h"

#include <cstddef>
#include <map>

namespace cyclamencroft {

class RetainedResults {
public:
  /// Limit of the bytes of bodies kept for one entry. The node's memory budget
  /// for control is 32 MB; 1,024 results of 256 KiB would take 256 MB.
  static constexpr std::size_t MaxBodyBytes = std::size_t{8} << 20;

  /// Keeps \p Result; drops the lowest sequences while the bodies exceed the
  /// limit. A dropped result can no longer be sent to the entry.
  void store(const TaskResult &Result);

  /// Null when the result was never stored or has been dropped.
  const TaskResult *find(Sequence Number) const;

  void dropBelow(Sequence Floor);

private:
  void drop(std::map<Sequence, TaskResult>::iterator Position);

  std::map<Sequence, TaskResult> m_Results;
  /// Sum of the body sizes in m_Results.
  std::size_t m_BodyBytes = 0;
};

} // namespace cyclamencroft
