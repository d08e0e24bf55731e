// Command-line tool for operators and callers.
#include "cli/Cli.h"
#include "cli/DomainCommands.h"
#include "platform/StoreWire.h"

#include <iostream>

using namespace cyclamencroft;

int main(int Count, char **Arguments) {
  const OperatorStore Store{platform::makeTopicStore, platform::OperatorTopic,
                            platform::evacuationKeyOf,
                            platform::evacuatedDomainOf};
  return runCli(Count, Arguments, std::cout, std::cerr, &Store);
}
