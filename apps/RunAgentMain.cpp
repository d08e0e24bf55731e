// Main function of the agent for leased tasks on the platform.
#include "PlatformMain.h"
#include "RunAgentDaemon.h"

int main(int Count, char **Arguments) {
  using namespace cyclamencroft;
  const auto Serve = [](const RunAgentSettings &Settings) {
    RunAgentDaemon(Settings).run();
    return EXIT_SUCCESS;
  };
  return runDaemon<RunAgentSettings>(Count, Arguments,
                                     "Agent that runs leased tasks",
                                     readRunAgentSettings, Serve);
}
