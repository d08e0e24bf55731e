// Container with stable element addresses and small reusable indices.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

namespace cyclamencroft {

/// Index of no element.
constexpr std::uint32_t NoIndex = UINT32_MAX;

template <class T> class Slab {
public:
  /// Returns the index of an unused or new element. A reused element keeps its
  /// last value, so that its buffers are reused; the caller resets it.
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

  /// Makes an index available for reuse. Does not destroy the element.
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
  // Invariant: holds each unused index of m_Elements once.
  std::vector<std::uint32_t> m_Free;
  std::size_t m_Size = 0;
};

} // namespace cyclamencroft
