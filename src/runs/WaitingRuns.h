// Priority queue of the runs that wait at an agent for capacity. Several
// entries compete for capacity that becomes free every few milliseconds;
// without the queue, each refused start would cost a round trip.
#pragma once

#include "core/Payload.h"
#include "core/Runs.h"
#include "core/RuntimeClock.h"
#include "runs/EntryLink.h"

#include <functional>
#include <map>
#include <optional>
#include <tuple>

namespace cyclamencroft {

struct WaitingRun {
  RunName m_Name;
  EntryLink *m_Owner = nullptr;
  Size m_Need;
  Duration m_Estimate{};
  Payload m_Specification;
  /// The job meets its deadline if the run starts by this time.
  TimePoint m_LatestStart{};
  /// The run is refused at this time, since its entry may find capacity at
  /// another endpoint.
  TimePoint m_WaitExpiresAt{};
};

class WaitingRuns {
public:
  /// Adds a run; one whose latest start is before \p Now gets the lowest
  /// priority.
  void add(WaitingRun Run, TimePoint Now);

  /// Removes and returns the most urgent run that fits into \p Free; nullopt
  /// for none.
  std::optional<WaitingRun> takeFitting(const Size &Free);

  /// Removes the runs for which \p Selected returns true, then calls \p Removed
  /// for each of them.
  void remove(const std::function<bool(const WaitingRun &)> &Selected,
              const std::function<void(const WaitingRun &)> &Removed);

  bool contains(const TaskName &Task) const;
  void forEach(const std::function<void(const WaitingRun &)> &Visit) const;

  /// Sum of the resources that the waiting runs need.
  const Size &size() const { return m_Size; }
  bool empty() const { return m_Runs.empty(); }

  /// Earliest m_WaitExpiresAt of all runs; TimePoint::max() for none.
  TimePoint nextWaitExpiry() const;

private:
  /// Whether the run was late on arrival, its latest start and its arrival
  /// number: late runs come last.
  using SortKey = std::tuple<bool, TimePoint, std::uint64_t>;

  std::map<SortKey, WaitingRun> m_Runs;
  std::uint64_t m_Arrivals = 0;
  /// Invariant: sum of the needs of m_Runs.
  Size m_Size;
};

} // namespace cyclamencroft
