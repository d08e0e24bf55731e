// Waits for SIGINT or SIGTERM in programs that need no drain.
#pragma once

#include <csignal>

namespace cyclamencroft {

class TerminationSignals {
public:
  /// Blocks both signals for this thread and for threads that it starts later,
  /// so that only wait() receives them. Create before starting any thread.
  TerminationSignals();

  /// Waits for one of the signals and returns its number.
  int wait() const;

private:
  sigset_t m_Signals;
};

} // namespace cyclamencroft
