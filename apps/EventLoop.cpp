// Logs exceptions that leave a handler and resumes the loop.
#include "EventLoop.h"

#include "telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>

#include <exception>
#include <string>

namespace cyclamencroft {

void runEventLoop(boost::asio::io_context &Io, std::string_view Thread) {
  while (!Io.stopped()) {
    try {
      Io.run();
    } catch (const std::exception &Fault) {
      logEvent(LogLevel::Error, "handler-failed",
               {{"thread", std::string(Thread)}, {"reason", Fault.what()}});
    }
  }
}

} // namespace cyclamencroft
