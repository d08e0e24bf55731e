// One run of the soak: starts the real daemons as processes with stand-ins for
// their peers, injects faults and checks the guarantees.
#pragma once

#include "soak/Callers.h"
#include "soak/Faults.h"
#include "soak/SoakSettings.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cyclamencroft::soak {

struct SoakResult {
  std::vector<Violation> m_Violations;
  CallerCounts m_Counts;
  /// Fraction of the jobs offered after the recovery that were completed.
  double m_ServedAfterRecovery = 0;
  std::uint64_t m_Faults = 0;
  /// Longest time in which the soak program itself did not run.
  Duration m_LongestStall{};
};

class SoakRun {
public:
  explicit SoakRun(SoakSettings Settings);
  ~SoakRun();
  SoakRun(const SoakRun &) = delete;
  SoakRun &operator=(const SoakRun &) = delete;

  /// Runs to the end; all started processes have ended on return.
  SoakResult run();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft::soak
