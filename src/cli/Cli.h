// Entry point of the command line tool for operators and callers.
#pragma once

#include <iosfwd>

namespace cyclamencroft {

struct OperatorStore;

/// Runs one command and returns the exit code of the process, see ExitCode.
/// Without \p Store there are no commands for failure domains.
int runCli(int Count, const char *const *Arguments, std::ostream &Output,
           std::ostream &Errors, const OperatorStore *Store = nullptr);

} // namespace cyclamencroft
