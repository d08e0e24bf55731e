// Uses the POSIX signal mask; blocked signals stay pending.
#include "core/StartupSignals.h"

#include <csignal>
#include <initializer_list>

namespace cyclamencroft {
namespace {

void changeMask(int How) {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (const int Each : {SIGHUP, SIGINT, SIGTERM})
    sigaddset(&Signals, Each);
  pthread_sigmask(How, &Signals, nullptr);
}

} // namespace

void holdStartupSignals() { changeMask(SIG_BLOCK); }

void releaseStartupSignals() { changeMask(SIG_UNBLOCK); }

} // namespace cyclamencroft
