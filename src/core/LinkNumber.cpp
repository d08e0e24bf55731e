// The time of day orders the links of successive processes of a host.
#include "core/LinkNumber.h"

#include <chrono>

namespace cyclamencroft {

LinkNumber firstLinkNumber() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return LinkNumber{static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
          .count())};
}

std::string describe(LinkNumber Number) {
  return std::to_string(static_cast<std::uint64_t>(Number));
}

bool isGivenUp(const LinkOrigin &Opened, const LinkOrigin &Accepted,
               bool AcceptedInUse) {
  if (Opened.m_Number >= Accepted.m_Number)
    return false;
  return Opened.m_Process == Accepted.m_Process || AcceptedInUse;
}

} // namespace cyclamencroft
