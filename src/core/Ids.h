// Identifiers that processes exchange, and identifiers that are local to one
// process.
#pragma once

#include <cstdint>
#include <string>

namespace cyclamencroft {

/// Random number chosen when a process starts; distinguishes successive
/// processes at the same address. Compared for equality only, so it doesn't
/// depend on the hosts' clocks.
enum class Incarnation : std::uint64_t {};

/// Number of a dispatch from one entry incarnation to one agent incarnation;
/// starts at 1 and is incremented by one.
using Sequence = std::uint64_t;

/// Identifies an open link within a process; not reused during its lifetime.
enum class LinkId : std::uint64_t {};

/// Identifies a waiting HTTP caller within an entry; not reused during the
/// lifetime of the process.
enum class CallerId : std::uint64_t {};

/// Version of a configuration; 0 when none is known.
using ConfigVersion = std::uint64_t;

/// Random 128-bit id of a request or job; also used as its trace id.
struct RequestId {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  friend bool operator==(const RequestId &A, const RequestId &B) {
    return A.m_High == B.m_High && A.m_Low == B.m_Low;
  }
  friend bool operator!=(const RequestId &A, const RequestId &B) {
    return !(A == B);
  }
  friend bool operator<(const RequestId &A, const RequestId &B) {
    return A.m_High != B.m_High ? A.m_High < B.m_High : A.m_Low < B.m_Low;
  }

  /// 32 lower-case hexadecimal digits.
  std::string toHex() const;
};

/// Hash for unordered containers; ids are random, so one half suffices.
struct RequestIdHash {
  std::size_t operator()(const RequestId &Id) const noexcept {
    return static_cast<std::size_t>(Id.m_Low);
  }
};

} // namespace cyclamencroft
