// Tasks that were admitted but not started: first in, first out.
#pragma once

#include "core/Messages.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

namespace cyclamencroft {

/// Names a dispatch: entry address, window and sequence.
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
  /// Local time after which the task is not started.
  TimePoint m_Deadline{};
  Payload m_Body;
};

class WaitingTasks {
public:
  using Condition = std::function<bool(const WaitingTask &)>;

  void push(WaitingTask Task) { m_Tasks.push_back(std::move(Task)); }
  /// \pre not empty.
  WaitingTask pop();
  /// Removes and returns the tasks that meet \p Which, in order.
  std::vector<WaitingTask> take(const Condition &Which);

  /// TimePoint::max() when nothing waits.
  TimePoint earliestDeadline() const;
  std::size_t size() const { return m_Tasks.size(); }
  bool empty() const { return m_Tasks.empty(); }

private:
  std::deque<WaitingTask> m_Tasks;
};

} // namespace cyclamencroft
