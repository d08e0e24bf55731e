// Identifiers that processes exchange or that name things inside one process.
#pragma once

#include <cstdint>
#include <string>

namespace cyclamencroft {

/// Number drawn at random when a process starts; tells two lives of the same
/// address apart. Compared for equality only, so clocks of hosts don't matter.
enum class Incarnation : std::uint64_t {};

/// Number of a dispatch from one entry incarnation to one agent incarnation;
/// starts at 1 and grows by one.
using Sequence = std::uint64_t;

/// Names one open link inside a process; never reused within its life.
enum class LinkId : std::uint64_t {};

/// Names one waiting HTTP caller inside an entry; never reused within its life.
enum class CallerId : std::uint64_t {};

/// Number of a configuration; 0 means that none is known.
using ConfigVersion = std::uint64_t;

/// Random 128-bit id of a request or job; also its trace id.
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
