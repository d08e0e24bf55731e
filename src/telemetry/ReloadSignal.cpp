// Writes one log line per SIGHUP.
#include "telemetry/ReloadSignal.h"

#include "telemetry/EventLog.h"

#include <csignal>

namespace cyclamencroft {

ReloadSignal::ReloadSignal(boost::asio::io_context &Io, std::string ProcessId)
    : m_Signals(Io, SIGHUP), m_ProcessId(std::move(ProcessId)) {}

void ReloadSignal::start() {
  m_Signals.async_wait([this](const boost::system::error_code &Fault, int) {
    if (Fault)
      return;
    logEvent(LogLevel::Info, "reload",
             {{"id", m_ProcessId},
              {"effect", "none; settings are read only at start"}});
    start();
  });
}

} // namespace cyclamencroft
