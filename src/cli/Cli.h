// Entry point of the command line tool for operators and callers.
#pragma once

#include <iosfwd>

namespace cyclamencroft {

/// Runs one command and returns the exit code of the process, see ExitCode.
int runCli(int Count, const char *const *Arguments, std::ostream &Output,
           std::ostream &Errors);

} // namespace cyclamencroft
