// Chooses the endpoint for a task among those with capacity. Balances the load
// over endpoints that differ in size and speed, and ejects those that become
// slow, stall or fail their runs.
#pragma once

#include "entry/RandomSource.h"
#include "jobs/JobDeclaration.h"
#include "jobs/RunnerRow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

using RunnerIndex = std::uint32_t;

struct PlacementQuery {
  std::string_view m_Service;
  const StepDeclaration *m_Step = nullptr;
  JobId m_Job{};
  std::uint32_t m_StepNumber = 0;
  /// The job is on time when the task ends by then; max() for jobs that are
  /// late already.
  TimePoint m_ObjectiveAt = TimePoint::max();
  /// Agent of the last run that failed or was lost.
  std::optional<RunnerIndex> m_Avoid;
};

/// Whether some endpoint could run a step if its capacity were free.
enum class Fit : std::uint8_t {
  Fits,
  TooLarge,  ///< Every endpoint of the service is too small or lacks the label.
  Evacuated, ///< Those that could are in evacuated failure domains.
  NoEndpoint, ///< No endpoint of the service is known.
};

struct CapacitySummary {
  std::uint32_t m_Endpoints = 0;
  std::uint64_t m_MilliCores = 0;
  std::uint64_t m_FreeMilliCores = 0;
};

std::string_view toString(EndpointHealth Health);

class Placement {
public:
  explicit Placement(std::uint64_t Seed) : m_Random(Seed) {}

  std::optional<RunnerIndex> choose(const std::vector<RunnerRow> &Rows,
                                    const PlacementQuery &Query, TimePoint Now);

  static Fit fit(const std::vector<RunnerRow> &Rows, std::string_view Service,
                 const StepDeclaration &Step);

  /// Number, total capacity and free capacity of the service's endpoints that
  /// take runs and are not ejected, as far as known.
  static CapacitySummary summarize(const std::vector<RunnerRow> &Rows,
                                   std::string_view Service);

  /// Total capacity, in milli-cores, of the endpoints of all services that take
  /// runs.
  static std::uint64_t capacityInService(const std::vector<RunnerRow> &Rows);

  /// Updates the medians over all endpoints and over those of each worker type.
  /// Scans every row, so it is called periodically and not for each choice.
  void updateMedians(const std::vector<RunnerRow> &Rows);

  EndpointHealth assess(const RunnerRow &Row) const;

  /// Run time over estimate, in percent, of the endpoints of its worker type;
  /// of all endpoints when there are too few.
  std::uint32_t typicalRunTimePercent(const EndpointView &Endpoint) const;

  /// Run time over estimate, in percent, that is usual for the endpoint.
  std::uint32_t usualRunTimePercent(const EndpointView &Endpoint) const;

  /// Median ratio of run time to estimate over all endpoints; 1 when unknown.
  double medianRunTimeRatio() const { return m_MedianRunTimePercent / 100.0; }

private:
  /// Random sample of the rows that could take the task now, on time if some
  /// could; only the ejected one to be probed when there is one.
  std::vector<RunnerIndex> sample(const std::vector<RunnerRow> &Rows,
                                  const PlacementQuery &Query, TimePoint Now);
  /// Whether the task, started now, is expected to end by its objective.
  bool endsOnTime(const RunnerRow &Row, const PlacementQuery &Query,
                  TimePoint Now) const;
  bool isCandidate(const RunnerRow &Row, const PlacementQuery &Query) const;
  bool shouldProbe(const RunnerRow &Row, TimePoint Now);
  double cost(const RunnerRow &Row, const PlacementQuery &Query) const;

  RandomSource m_Random;
  /// Invariant: not 0.
  std::uint32_t m_MedianRunTimePercent = 100;
  std::uint32_t m_MedianFailedPercent = 0;
  /// Median run time over estimate by worker type; only types with enough
  /// endpoints to compare.
  std::map<std::string, std::uint32_t> m_MedianByType;
};

} // namespace cyclamencroft
