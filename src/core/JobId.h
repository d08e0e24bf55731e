// Id of a job, as its caller writes it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace cyclamencroft {

/// Id that the caller chose for the job; a repeated request has the same id.
/// Its text form is 16 hexadecimal digits. Ids whose digits differ in case only
/// are different ids.
struct JobId {
  std::uint64_t m_Number = 0;
  /// Bit N is set if the digit N, counted from the right, is an upper-case
  /// letter. Invariant: set only for digits that are letters, so that equal ids
  /// have equal text forms.
  std::uint16_t m_UpperCase = 0;

  friend bool operator==(const JobId &A, const JobId &B) {
    return A.m_Number == B.m_Number && A.m_UpperCase == B.m_UpperCase;
  }
  friend bool operator!=(const JobId &A, const JobId &B) { return !(A == B); }
  friend bool operator<(const JobId &A, const JobId &B) {
    return std::tie(A.m_Number, A.m_UpperCase) <
           std::tie(B.m_Number, B.m_UpperCase);
  }
};

/// Hash for unordered containers; ids of different jobs rarely differ in case
/// only.
struct JobIdHash {
  std::size_t operator()(const JobId &Id) const noexcept {
    return std::hash<std::uint64_t>()(Id.m_Number);
  }
};

/// Returns the 16 digits as the caller wrote them.
std::string toHex(const JobId &Id);

/// Returns nullopt unless \p Text is the text form of an id.
std::optional<JobId> parseJobId(std::string_view Text);

} // namespace cyclamencroft
