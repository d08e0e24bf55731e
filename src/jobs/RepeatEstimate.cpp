// Compares how long callers still wait with the timeout of their queue.
#include "jobs/RepeatEstimate.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Jobs that the moving average covers.
constexpr double AveragedJobs = 100;

/// Share of short waits beyond which they are usual on a queue. A burst of
/// repeats stays below it, because first attempts come in between.
constexpr double UsualShare = 0.8;

} // namespace

Duration RepeatEstimate::waitedBefore(std::string_view Queue,
                                      Duration QueueTimeout,
                                      Duration CallerTimeout) {
  const Duration Waited = std::max(Duration{}, QueueTimeout - CallerTimeout);
  double &Share = m_ShortShare[std::string(Queue)];
  Share += ((Waited > Duration{} ? 1 : 0) - Share) / AveragedJobs;
  return Share > UsualShare ? Duration{} : Waited;
}

} // namespace cyclamencroft
