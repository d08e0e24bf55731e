// Entry that dispatches leased jobs on the platform. It serves callers over
// HTTP, accepts links from agents, and schedules the callers' jobs on them.
#pragma once

#include "cyclamencroft/JobEntrySettings.h"

#include <memory>

namespace cyclamencroft {

class JobEntryDaemon {
public:
  /// Throws std::runtime_error with the address when it can't listen there.
  explicit JobEntryDaemon(const JobEntrySettings &Settings);
  ~JobEntryDaemon();
  JobEntryDaemon(const JobEntryDaemon &) = delete;
  JobEntryDaemon &operator=(const JobEntryDaemon &) = delete;

  /// Runs until the shutdown that SIGTERM or SIGINT starts is complete. Returns
  /// true when every caller has been answered.
  bool run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
