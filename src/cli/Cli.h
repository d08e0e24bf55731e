// The command line of operators and callers.
#pragma once

#include <iosfwd>

namespace cyclamencroft {

/// Runs one command and returns the exit code of the process.
int runCli(int Count, const char *const *Arguments, std::ostream &Output,
           std::ostream &Errors);

} // namespace cyclamencroft
