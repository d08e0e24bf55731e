// Runs a callback after a delay; drops it when the io_context is destroyed.
#pragma once

#include "core/RuntimeTimer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace cyclamencroft::soak {

inline void runAfter(boost::asio::io_context &Io, Duration Time,
                     std::function<void()> Step) {
  const auto Timer = std::make_shared<RuntimeTimer>(Io);
  Timer->expires_after(Time);
  Timer->async_wait([Timer, Step = std::move(Step)](
                        const boost::system::error_code &ErrorCode) {
    if (!ErrorCode)
      Step();
  });
}

} // namespace cyclamencroft::soak
