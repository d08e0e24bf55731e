// FIFO queue of tasks that were admitted but not started.
#pragma once

#include "core/Messages.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace cyclamencroft {

/// Identifies a dispatch by entry address index, window and sequence.
struct DispatchKey {
  std::uint32_t m_Entry = 0;
  std::uint64_t m_WindowId = 0;
  Sequence m_Sequence = 0;
};

struct WaitingTask {
  DispatchKey m_Key;
  RequestId m_Request;
  std::uint32_t m_TaskIndex = 0;
  TraceContext m_Trace;
  /// Local time from which on the task is not started.
  TimePoint m_Deadline{};
  Payload m_Body;
};

class WaitingTasks {
public:
  using Condition = std::function<bool(const WaitingTask &)>;

  void push(WaitingTask Task) { m_Tasks.push_back(std::move(Task)); }
  /// \pre Not empty.
  WaitingTask pop();
  /// Removes and returns the tasks that satisfy \p Predicate, in queue order.
  std::vector<WaitingTask> take(const Condition &Predicate);

  /// TimePoint::max() when the queue is empty.
  TimePoint earliestDeadline() const;
  std::size_t size() const { return m_Tasks.size(); }
  bool empty() const { return m_Tasks.empty(); }

private:
  std::deque<WaitingTask> m_Tasks;
};

} // namespace cyclamencroft
