// Command-line tool for operators and callers.
#include "cli/Cli.h"

#include <iostream>

int main(int Count, char **Arguments) {
  return cyclamencroft::runCli(Count, Arguments, std::cout, std::cerr);
}
