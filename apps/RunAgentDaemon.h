// Agent that runs leased tasks at one endpoint of the platform.
#pragma once

#include "cyclamencroft/RunAgentSettings.h"

#include <memory>

namespace cyclamencroft {

class RunAgentDaemon {
public:
  /// Throws std::runtime_error with the address when it can't listen there.
  explicit RunAgentDaemon(const RunAgentSettings &Settings);
  ~RunAgentDaemon();
  RunAgentDaemon(const RunAgentDaemon &) = delete;
  RunAgentDaemon &operator=(const RunAgentDaemon &) = delete;

  /// Runs until the shutdown that SIGTERM or SIGINT starts is complete and no
  /// run is left.
  void run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
