// Storage with stable addresses and small reusable indices.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

namespace cyclamencroft {

/// Index that names no element.
constexpr std::uint32_t NoIndex = UINT32_MAX;

template <class T> class Slab {
public:
  /// Index of an element that keeps the value of its last use, so that its
  /// buffers are reused; the user of the slab resets it.
  std::uint32_t add() {
    ++m_Size;
    if (m_Free.empty()) {
      m_Elements.emplace_back();
      return static_cast<std::uint32_t>(m_Elements.size() - 1);
    }
    const std::uint32_t Index = m_Free.back();
    m_Free.pop_back();
    return Index;
  }

  void remove(std::uint32_t Index) {
    --m_Size;
    m_Free.push_back(Index);
  }

  T &operator[](std::uint32_t Index) { return m_Elements[Index]; }
  const T &operator[](std::uint32_t Index) const { return m_Elements[Index]; }

  /// Elements in use.
  std::size_t size() const { return m_Size; }

private:
  std::deque<T> m_Elements;
  // Invariant: holds each index that is not in use once.
  std::vector<std::uint32_t> m_Free;
  std::size_t m_Size = 0;
};

} // namespace cyclamencroft
