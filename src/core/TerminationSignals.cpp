// POSIX signal masks are inherited by threads started later.
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
