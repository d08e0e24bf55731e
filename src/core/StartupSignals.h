// Signals that arrive before a program has set up their handlers, and that
// would end it by their default action.
#pragma once

namespace cyclamencroft {

/// Blocks SIGHUP, SIGINT and SIGTERM for this thread and for threads that it
/// starts later. To be called first in main().
void holdStartupSignals();

/// Delivers the signals that have arrived since holdStartupSignals(), and later
/// ones to this thread. To be called once handlers are installed.
void releaseStartupSignals();

} // namespace cyclamencroft
