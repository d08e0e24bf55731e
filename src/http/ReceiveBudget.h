// Bounds the memory that the connections of a server take for requests that are
// still being received or handled. When it runs short, the connections that
// hold the most for the longest are selected to be refused.
#pragma once

#include "core/RuntimeClock.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace cyclamencroft {

/// Not thread-safe.
class ReceiveBudget {
public:
  /// Identifies a connection; never dereferenced.
  using Connection = const void *;

  explicit ReceiveBudget(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}

  /// The request that \p Source is sending takes \p Bytes now. Returns the
  /// connections to refuse, which count as released. A \p Complete request is
  /// never one of them.
  std::vector<Connection> receive(Connection Source, TimePoint Now,
                                  std::size_t Bytes, bool Complete);

  /// The request was answered, or its connection was closed.
  void release(Connection Source);

  std::size_t bytes() const { return m_Bytes; }

private:
  struct Request {
    TimePoint m_StartedAt{};
    std::size_t m_Bytes = 0;
    bool m_Complete = false;
  };
  using Requests = std::unordered_map<Connection, Request>;

  Requests::iterator mostCostly(TimePoint Now);
  void erase(Requests::iterator Selected);

  const std::size_t m_MaxBytes;
  Requests m_Requests;
  /// Invariant: sum over m_Requests.
  std::size_t m_Bytes = 0;
};

} // namespace cyclamencroft
