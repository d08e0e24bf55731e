// Small seeded generator (SplitMix64) for routing choices. The distributions of
// the standard library differ between implementations, but a replay must make
// the same choices everywhere.
#pragma once

#include <cstdint>

namespace cyclamencroft {

class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : m_State(Seed) {}

  std::uint64_t next() {
    m_State += 0x9e3779b97f4a7c15ULL;
    std::uint64_t Value = m_State;
    Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
    return Value ^ (Value >> 31);
  }

  /// Uniform number below \p Bound, which must not be 0.
  std::uint32_t below(std::uint32_t Bound) {
    const std::uint64_t High = next() >> 32;
    return static_cast<std::uint32_t>((High * Bound) >> 32);
  }

private:
  std::uint64_t m_State;
};

} // namespace cyclamencroft
