// Keys of non-idempotent requests: a repeated key is refused while the first
// request is held and for some time after.
#pragma once

#include "core/RuntimeClock.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <cstdint>
#include <deque>
#include <string_view>

namespace cyclamencroft {

class RequestKeys {
public:
  /// A released key is remembered for this long.
  static constexpr Duration Memory = std::chrono::minutes(10);

  /// Keys remembered at most. 40 bytes each, so the table stays near 10 MB; it
  /// covers 430 keyed requests a second.
  static constexpr std::size_t Capacity = 262144;

  enum class Claim { Taken, Repeated, TableFull };

  /// Hash that stands for a key; never 0. Keys of different teams or services
  /// are different.
  static std::uint64_t hash(std::string_view Service, std::string_view Team,
                            std::string_view Key);

  Claim claim(std::uint64_t Key, TimePoint Now);

  /// Starts the key's memory: its request has been answered.
  void release(std::uint64_t Key, TimePoint Now);

  /// Removes the key: its request was not run and may be sent again.
  void forget(std::uint64_t Key);

  std::size_t size() const { return m_Keys.size(); }

private:
  struct Released {
    TimePoint m_Until{};
    std::uint64_t m_Key = 0;
  };

  void expire(TimePoint Now);

  // Invariant: holds each key that is held or remembered.
  boost::unordered_flat_set<std::uint64_t> m_Keys;
  // Invariant: ascending times; holds each remembered key once.
  std::deque<Released> m_Released;
};

} // namespace cyclamencroft
