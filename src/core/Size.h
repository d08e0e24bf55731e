// Resources of a worker, or those that a task declares.
#pragma once

#include <cstdint>

namespace cyclamencroft {

/// Milli-cores per core; sizes are in milli-cores.
constexpr std::uint32_t MilliCoresPerCore = 1000;

/// Converts \p Cores to milli-cores; saturates at UINT32_MAX.
constexpr std::uint32_t wholeCores(std::uint32_t Cores) {
  return Cores > UINT32_MAX / MilliCoresPerCore ? UINT32_MAX
                                                : Cores * MilliCoresPerCore;
}

struct Size {
  std::uint32_t m_MilliCores = 0;
  std::uint32_t m_MemoryMiB = 0;
  std::uint32_t m_Accelerators = 0;

  /// True when \p Need fits into this size in every dimension.
  bool holds(const Size &Need) const {
    return Need.m_MilliCores <= m_MilliCores &&
           Need.m_MemoryMiB <= m_MemoryMiB &&
           Need.m_Accelerators <= m_Accelerators;
  }

  /// Saturates at UINT32_MAX in each dimension.
  Size &operator+=(const Size &Other) {
    m_MilliCores = sum(m_MilliCores, Other.m_MilliCores);
    m_MemoryMiB = sum(m_MemoryMiB, Other.m_MemoryMiB);
    m_Accelerators = sum(m_Accelerators, Other.m_Accelerators);
    return *this;
  }

  /// Saturates at zero in each dimension.
  Size &operator-=(const Size &Other) {
    m_MilliCores -= minimum(m_MilliCores, Other.m_MilliCores);
    m_MemoryMiB -= minimum(m_MemoryMiB, Other.m_MemoryMiB);
    m_Accelerators -= minimum(m_Accelerators, Other.m_Accelerators);
    return *this;
  }

  friend bool operator==(const Size &A, const Size &B) {
    return A.holds(B) && B.holds(A);
  }
  friend bool operator!=(const Size &A, const Size &B) { return !(A == B); }

  friend Size operator+(Size A, const Size &B) { return A += B; }
  friend Size operator-(Size A, const Size &B) { return A -= B; }

private:
  static std::uint32_t sum(std::uint32_t A, std::uint32_t B) {
    return B > UINT32_MAX - A ? UINT32_MAX : A + B;
  }
  static std::uint32_t minimum(std::uint32_t A, std::uint32_t B) {
    return A < B ? A : B;
  }
};

} // namespace cyclamencroft
