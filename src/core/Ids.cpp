// Conversion of identifiers to text.
#include "core/Ids.h"

#include <cinttypes>
#include <cstdio>

namespace cyclamencroft {

std::string RequestId::toHex() const {
  constexpr std::size_t HexDigits = 32;
  char Buffer[HexDigits + 1];
  std::snprintf(Buffer, sizeof(Buffer), "%016" PRIx64 "%016" PRIx64, m_High,
                m_Low);
  return std::string(Buffer, HexDigits);
}

} // namespace cyclamencroft
