// Logs SIGHUP instead of letting it terminate the process. Every setting is an
// address or identity that is fixed for the lifetime of a process, so a reload
// has no effect and must not interrupt anything.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <string>

namespace cyclamencroft {

class ReloadSignal {
public:
  ReloadSignal(boost::asio::io_context &Io, std::string ProcessId);

  void start();

private:
  boost::asio::signal_set m_Signals;
  const std::string m_ProcessId;
};

} // namespace cyclamencroft
