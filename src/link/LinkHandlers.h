// Callbacks through which a link server or a link client reports to its owner.
#pragma once

#include "core/Messages.h"

#include <functional>
#include <string>
#include <vector>

namespace cyclamencroft {

/// Called on the thread that runs the io_context. Every m_OnOpen is followed by
/// exactly one m_OnClose with the same id, unless the owner calls stop() first.
struct LinkHandlers {
  std::function<void(LinkId)> m_OnOpen;
  /// The messages of one frame, in order.
  std::function<void(LinkId, std::vector<LinkMessage>)> m_OnMessages;
  std::function<void(LinkId, std::string Reason)> m_OnClose;
};

} // namespace cyclamencroft
