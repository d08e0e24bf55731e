// Chooses the endpoint for a task among those with room. Answers uneven load:
// endpoints differ in size and speed, some turn slow, stall or fail their runs.
#pragma once

#include "entry/RandomSource.h"
#include "jobs/JobDeclaration.h"
#include "jobs/RunnerRow.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cyclamencroft {

using RunnerIndex = std::uint32_t;

struct PlacementQuery {
  std::string_view m_Service;
  const StepDeclaration *m_Step = nullptr;
  JobId m_Job{};
  std::uint32_t m_StepNumber = 0;
  /// Agent of the last run that failed or was lost.
  std::optional<RunnerIndex> m_Avoid;
};

/// Whether some endpoint could run a step if its room were free.
enum class Fit : std::uint8_t {
  Fits,
  TooLarge, ///< Every endpoint of the service is too small or lacks the label.
  NoEndpoint, ///< No endpoint of the service is known.
};

struct RoomSummary {
  std::uint32_t m_Endpoints = 0;
  std::uint64_t m_MilliCores = 0;
  std::uint64_t m_FreeMilliCores = 0;
};

std::string_view toString(EndpointVerdict Verdict);

class Placement {
public:
  explicit Placement(std::uint64_t Seed) : m_Random(Seed) {}

  std::optional<RunnerIndex> choose(const std::vector<RunnerRow> &Rows,
                                    const PlacementQuery &Query, TimePoint Now);

  static Fit fit(const std::vector<RunnerRow> &Rows, std::string_view Service,
                 const StepDeclaration &Step);

  /// Cores of the service's sound endpoints that are in use, waited for or
  /// free, as far as is known.
  static RoomSummary summarize(const std::vector<RunnerRow> &Rows,
                               std::string_view Service);

  /// Learns what is usual over all endpoints. Looks at every row, so it is
  /// called from time to time and not for each choice.
  void learnUsual(const std::vector<RunnerRow> &Rows);

  EndpointVerdict judge(const RunnerRow &Row) const;

  /// Usual ratio of run time to estimate; 1 when unknown.
  double usualRunTime() const { return m_UsualRunTimePercent / 100.0; }

private:
  /// Some of the rows that could take the task now, drawn at random; only the
  /// one to be tried again when there is one.
  std::vector<RunnerIndex> sample(const std::vector<RunnerRow> &Rows,
                                  const PlacementQuery &Query, TimePoint Now);
  bool isCandidate(const RunnerRow &Row, const PlacementQuery &Query) const;
  bool probes(const RunnerRow &Row, TimePoint Now);
  double cost(const RunnerRow &Row, const PlacementQuery &Query) const;

  RandomSource m_Random;
  /// Invariant: not 0.
  std::uint32_t m_UsualRunTimePercent = 100;
  std::uint32_t m_UsualFailedPercent = 0;
};

} // namespace cyclamencroft
