// Defines the scenarios. A rack holds more than a quarter of the slots, so the
// rack-killed scenario uses 50% load: at 80% the remaining slots could not
// carry the load under any policy.
#include "bench/Scenario.h"

namespace cyclamencroft {

std::vector<Scenario> allScenarios() {
  constexpr double Half = 0.5;
  constexpr double Usual = 0.8;
  constexpr double High = 0.95;
  return {
      {"load-50", Half, 0, 0, NoFault{}},
      {"load-80", Usual, 0, 0, NoFault{}},
      {"load-95", High, 0, 0, NoFault{}},
      {"burst-2x", Half, 0, 2, NoFault{}},
      {"jobs-half-of-80", Usual, Half, 0, NoFault{}},
      {"straggler", Usual, 0, 0, OneStraggler{}},
      {"failing-worker", Usual, 0, 0, OneFailingWorker{}},
      {"rack-killed", Half, 0, 0, RackKilled{}},
      {"entry-killed", Usual, 0, 0, EntryKilled{}},
      {"log-down", Usual, 0, 0, LogDownFault{}},
  };
}

WorkloadOptions workloadOf(const Scenario &Row, std::uint32_t Slots,
                           Duration Length, std::uint64_t Seed) {
  WorkloadOptions Options;
  Options.m_Seed = Seed;
  Options.m_Length = Length;
  Options.m_Slots = Slots;
  Options.m_Load = Row.m_Load;
  Options.m_JobShare = Row.m_JobShare;
  Options.m_Burst = static_cast<std::uint32_t>(Row.m_Burst * Slots);
  return Options;
}

} // namespace cyclamencroft
