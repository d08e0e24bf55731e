// Detects repeated keys of non-idempotent requests: a key is refused while the
// first request with it is in progress and for a retention time after its
// answer.
#pragma once

#include "core/RuntimeClock.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <cstdint>
#include <deque>
#include <string_view>

namespace cyclamencroft {

class RequestKeys {
public:
  /// Time for which a released key is still refused.
  static constexpr Duration RetentionTime = std::chrono::minutes(10);

  /// Maximum number of claimed and retained keys. A key takes 40 bytes, so the
  /// table stays near 10 MB; it covers 430 keyed requests a second.
  static constexpr std::size_t Capacity = 262144;

  enum class Claim { Taken, Repeated, TableFull };

  /// Hash that identifies a key of one team and service; never 0. The same key
  /// of another team or service has another hash.
  static std::uint64_t hash(std::string_view Service, std::string_view Team,
                            std::string_view Key);

  /// Records the key of a new request. Nothing is recorded unless the result is
  /// Claim::Taken.
  Claim claim(std::uint64_t Key, TimePoint Now);

  /// Starts the retention time of a key whose request has been answered.
  void release(std::uint64_t Key, TimePoint Now);

  /// Removes a key whose request was not run, so that it may be sent again.
  void erase(std::uint64_t Key);

  std::size_t size() const { return m_Keys.size(); }

private:
  struct Released {
    TimePoint m_Until{};
    std::uint64_t m_Key = 0;
  };

  void expire(TimePoint Now);

  // Invariant: holds the hash of each key that is claimed or retained.
  boost::unordered_flat_set<std::uint64_t> m_Keys;
  // Invariant: ascending by m_Until; holds each retained key once.
  std::deque<Released> m_Released;
};

} // namespace cyclamencroft
