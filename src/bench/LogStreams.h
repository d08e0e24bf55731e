// Streams of the stand-in log: their records and pending long-poll reads.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cyclamencroft {

struct LogStream {
  /// Offset of the oldest retained record.
  std::uint64_t m_First = 0;
  std::deque<std::string> m_Records;
  /// Callbacks of pending reads. Each is called once, after the next append.
  std::vector<std::function<void()>> m_Waiting;

  std::uint64_t next() const { return m_First + m_Records.size(); }

  void truncate(std::size_t Records) {
    while (m_Records.size() > Records) {
      m_Records.pop_front();
      ++m_First;
    }
  }

  /// Appends a record, resumes the pending reads and returns the offset of the
  /// record. Keeps at most \p Retention records.
  std::uint64_t append(std::string Record, std::size_t Retention) {
    const std::uint64_t Offset = next();
    m_Records.push_back(std::move(Record));
    truncate(Retention);
    const auto Waiting = std::move(m_Waiting);
    m_Waiting.clear();
    for (const auto &Resume : Waiting)
      Resume();
    return Offset;
  }
};

using LogStreams = std::map<std::string, LogStream>;

} // namespace cyclamencroft
