// Waits for SIGINT or SIGTERM in programs that need no drain.
#pragma once

#include <csignal>

namespace cyclamencroft {

class TerminationSignals {
public:
  /// Blocks both signals for this thread and for threads that it starts later,
  /// so that only wait() gets them. Create before any thread.
  TerminationSignals();

  /// Blocks until one of them arrives; returns its number.
  int wait() const;

private:
  sigset_t m_Signals;
};

} // namespace cyclamencroft
