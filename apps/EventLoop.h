// Runs the handlers of an io_context in the daemons of the platform.
#pragma once

#include <string_view>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

/// Runs \p Io until it is stopped. An exception that leaves a handler is logged
/// with \p Thread and ends that handler only, so that one unexpected message or
/// answer can't end the process.
void runEventLoop(boost::asio::io_context &Io, std::string_view Thread);

} // namespace cyclamencroft
