// Relies on threads inheriting the POSIX signal mask of the thread that starts
// them.
#include "core/TerminationSignals.h"

namespace cyclamencroft {

TerminationSignals::TerminationSignals() {
  sigemptyset(&m_Signals);
  sigaddset(&m_Signals, SIGINT);
  sigaddset(&m_Signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &m_Signals, nullptr);
}

int TerminationSignals::wait() const {
  int Signal = 0;
  sigwait(&m_Signals, &Signal);
  return Signal;
}

} // namespace cyclamencroft
