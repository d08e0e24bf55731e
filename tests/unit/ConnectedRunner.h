// Fixture of tests in which the endpoint and an entry are connected to a run
// agent from the start.
#pragma once

#include "RunnerHarness.h"

namespace cyclamencroft {

struct ConnectedRunner : RunnerHarness {
  ConnectedRunner() {
    bringUp();
    openLink();
    clearCommands();
  }
};

} // namespace cyclamencroft
