// Main function of the entry for leased jobs on the platform.
#include "JobEntryDaemon.h"
#include "PlatformMain.h"

int main(int Count, char **Arguments) {
  using namespace cyclamencroft;
  const auto Serve = [](const JobEntrySettings &Settings) {
    return JobEntryDaemon(Settings).run() ? EXIT_SUCCESS : EXIT_FAILURE;
  };
  return runDaemon<JobEntrySettings>(Count, Arguments,
                                     "Entry that dispatches leased jobs",
                                     readJobEntrySettings, Serve);
}
