// Order of the links that the agents of one host open.
#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <string>

namespace cyclamencroft {

/// Grows with each link that an agent opens, whatever entry it leads to, and
/// from one agent process of a host to the next one unless the host's clock was
/// set back between them.
enum class LinkNumber : std::uint64_t {};

/// First number of an agent process that starts now: microseconds of the time
/// of day. An agent opens far less than one link a microsecond.
LinkNumber firstLinkNumber();

inline LinkNumber next(LinkNumber Number) {
  return LinkNumber{static_cast<std::uint64_t>(Number) + 1};
}

std::string describe(LinkNumber Number);

/// Where a hello comes from.
struct LinkOrigin {
  Incarnation m_Process{};
  LinkNumber m_Number{};
};

/// Whether the agent has given up the link \p Opened, because it has opened
/// \p Accepted after it. A hello may be held up by the network until its link
/// was replaced. \p AcceptedInUse tells whether the later link is open or the
/// agent may hold runs: without either, an earlier number of another process
/// shows that the host's clock was set back.
bool isGivenUp(const LinkOrigin &Opened, const LinkOrigin &Accepted,
               bool AcceptedInUse);

} // namespace cyclamencroft
