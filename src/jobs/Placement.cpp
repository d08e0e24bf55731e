// Chooses the least loaded endpoint of a random sample of healthy ones, with
// costs for slowness and distance.
#include "jobs/Placement.h"

#include <algorithm>
#include <limits>

namespace cyclamencroft {
namespace {

/// Candidate rows that one choice examines. Bounds its cost with thousands of
/// endpoints, where a sample this large contains one that is nearly the least
/// loaded.
constexpr std::size_t MaxCandidates = 64;

/// Candidates whose costs a choice compares. All entries see the same, slightly
/// outdated loads: if each took the least loaded endpoint of all, they would
/// choose the same one and all but one would be refused.
constexpr std::size_t SampleSize = 4;

/// At this multiple of the median ratio of run time to estimate, short tasks
/// miss an objective of 1.6 times their run time.
constexpr double SlowFactor = 2.0;

/// Fewer endpoints of a worker type are compared with all others only.
constexpr std::size_t MinPeers = 3;

/// An endpoint at which a smaller share of runs fails is not ejected; single
/// failures are normal.
constexpr std::uint32_t MinFailedPercent = 30;

/// Multiple of the median share of failed runs beyond which an endpoint is
/// ejected: a high share at all endpoints indicates faulty jobs rather than
/// faulty endpoints.
constexpr std::uint32_t FailingFactor = 3;

/// An ejected endpoint that has had no run for this time gets a probe run from
/// one in ProbeOneIn choices.
constexpr Duration ProbeAfter = std::chrono::milliseconds(1500);
constexpr std::uint32_t ProbeOneIn = 16;

constexpr std::uint32_t WholePercent = 100;

// Costs are fractions of an endpoint's capacity.
constexpr double SlownessCost = 0.3;
constexpr double OtherRackCost = 0.3;
constexpr double AvoidedCost = 2.0;

/// Random sample of rows; each one that was added is in it with the same
/// probability.
struct ReservoirSample {
  std::vector<RunnerIndex> m_Rows;
  std::uint32_t m_Seen = 0;

  void add(RunnerIndex Index, RandomSource &Random) {
    ++m_Seen;
    if (m_Rows.size() < SampleSize) {
      m_Rows.push_back(Index);
      return;
    }
    const std::uint32_t Slot = Random.below(m_Seen);
    if (Slot < SampleSize)
      m_Rows[Slot] = Index;
  }
};

bool hasLabel(const EndpointView &Endpoint, const std::string &Label) {
  const auto &Labels = Endpoint.m_Labels;
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

bool isEligible(const EndpointView &Endpoint, const StepDeclaration &Step) {
  return Step.m_RequiredLabel.empty() ||
         hasLabel(Endpoint, Step.m_RequiredLabel);
}

std::uint32_t runsOfStep(const RunnerRow &Row, const PlacementQuery &Query) {
  std::uint32_t Count = 0;
  for (const auto &[Name, Run] : Row.m_Runs)
    if (Name.m_Task.m_Job == Query.m_Job &&
        Name.m_Task.m_Step == Query.m_StepNumber)
      ++Count;
  return Count;
}

/// Upper median; \p Default when there are no values.
std::uint32_t medianOf(std::vector<std::uint32_t> Values,
                       std::uint32_t Default) {
  if (Values.empty())
    return Default;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

std::string_view toString(EndpointHealth Health) {
  switch (Health) {
  case EndpointHealth::Healthy:
    return "sound";
  case EndpointHealth::Slow:
    return "slow";
  case EndpointHealth::Failing:
    return "failing";
  }
  return "invalid";
}

void Placement::updateMedians(const std::vector<RunnerRow> &Rows) {
  std::vector<std::uint32_t> RunTimes;
  std::vector<std::uint32_t> Failures;
  std::map<std::string, std::vector<std::uint32_t>> RunTimesByType;
  for (const RunnerRow &Row : Rows) {
    const EndpointQuality &Quality = Row.m_Load.m_Quality;
    if (!Row.takesRuns() || Quality.m_RunTimePercent == 0)
      continue;
    RunTimes.push_back(Quality.m_RunTimePercent);
    Failures.push_back(Quality.m_FailedPercent);
    if (!Row.m_Endpoint.m_WorkerType.empty())
      RunTimesByType[Row.m_Endpoint.m_WorkerType].push_back(
          Quality.m_RunTimePercent);
  }
  m_MedianByType.clear();
  for (auto &[Type, Values] : RunTimesByType)
    if (Values.size() >= MinPeers)
      m_MedianByType[Type] = medianOf(std::move(Values), WholePercent);
  m_MedianRunTimePercent = medianOf(std::move(RunTimes), WholePercent);
  m_MedianFailedPercent = medianOf(std::move(Failures), 0);
}

std::uint32_t
Placement::typicalRunTimePercent(const EndpointView &Endpoint) const {
  const auto Found = m_MedianByType.find(Endpoint.m_WorkerType);
  return Found == m_MedianByType.end() ? m_MedianRunTimePercent : Found->second;
}

/// Workers of one type may all be slower than the median worker, and serve well
/// what has time enough. Types that are faster are held to the median of all.
std::uint32_t
Placement::usualRunTimePercent(const EndpointView &Endpoint) const {
  return std::max(typicalRunTimePercent(Endpoint), m_MedianRunTimePercent);
}

EndpointHealth Placement::assess(const RunnerRow &Row) const {
  const EndpointQuality &Quality = Row.m_Load.m_Quality;
  if (Row.m_Stalled || Quality.m_RunTimePercent >
                           SlowFactor * usualRunTimePercent(Row.m_Endpoint))
    return EndpointHealth::Slow;
  if (Quality.m_FailedPercent >= MinFailedPercent &&
      Quality.m_FailedPercent > FailingFactor * m_MedianFailedPercent)
    return EndpointHealth::Failing;
  return EndpointHealth::Healthy;
}

/// Whether to send a run to an ejected endpoint, to see if it has recovered. No
/// entry sends another one while that run is in progress, and a random draw
/// keeps the entries from sending one each at the same time.
bool Placement::shouldProbe(const RunnerRow &Row, TimePoint Now) {
  const Duration Age =
      Row.m_Load.m_Quality.m_SampleAge + (Now - std::min(Now, Row.m_LoadAt));
  return Row.m_Load.m_Runs == 0 && Row.m_UnacknowledgedStarts.empty() &&
         Age > ProbeAfter && m_Random.below(ProbeOneIn) == 0;
}

bool Placement::isCandidate(const RunnerRow &Row,
                            const PlacementQuery &Query) const {
  const StepDeclaration &Step = *Query.m_Step;
  if (!Row.takesRuns() || Row.m_Endpoint.m_Service != Query.m_Service ||
      !isEligible(Row.m_Endpoint, Step) ||
      !Row.m_Endpoint.m_Capacity.holds(Row.demand() + Step.m_Need))
    return false;
  return Step.m_MaxTasksPerEndpoint == 0 ||
         runsOfStep(Row, Query) < Step.m_MaxTasksPerEndpoint;
}

double Placement::cost(const RunnerRow &Row,
                       const PlacementQuery &Query) const {
  const StepDeclaration &Step = *Query.m_Step;
  const Size Demand = Row.demand() + Step.m_Need;
  const double Capacity = std::max(1U, Row.m_Endpoint.m_Capacity.m_MilliCores);
  double Cost = Demand.m_MilliCores / Capacity;
  const std::uint32_t RunTimePercent = Row.m_Load.m_Quality.m_RunTimePercent;
  if (RunTimePercent != 0)
    Cost += SlownessCost *
            (static_cast<double>(RunTimePercent) / m_MedianRunTimePercent - 1);
  if (!Step.m_DataRack.empty() && !hasLabel(Row.m_Endpoint, Step.m_DataRack))
    Cost += OtherRackCost;
  return Cost;
}

bool Placement::endsOnTime(const RunnerRow &Row, const PlacementQuery &Query,
                           TimePoint Now) const {
  const Duration Expected = Query.m_Step->m_Estimate *
                            typicalRunTimePercent(Row.m_Endpoint) /
                            WholePercent;
  return Now + Expected <= Query.m_ObjectiveAt;
}

std::vector<RunnerIndex> Placement::sample(const std::vector<RunnerRow> &Rows,
                                           const PlacementQuery &Query,
                                           TimePoint Now) {
  const std::size_t First =
      m_Random.below(static_cast<std::uint32_t>(Rows.size()));
  ReservoirSample OnTime;
  ReservoirSample Late;
  for (std::size_t Step = 0;
       Step < Rows.size() && OnTime.m_Seen + Late.m_Seen < MaxCandidates;
       ++Step) {
    const auto Index = static_cast<RunnerIndex>((First + Step) % Rows.size());
    if (!isCandidate(Rows[Index], Query))
      continue;
    if (Rows[Index].m_Health != EndpointHealth::Healthy) {
      if (shouldProbe(Rows[Index], Now))
        return {Index};
      continue;
    }
    ReservoirSample &Sample =
        endsOnTime(Rows[Index], Query, Now) ? OnTime : Late;
    Sample.add(Index, m_Random);
  }
  return OnTime.m_Rows.empty() ? Late.m_Rows : OnTime.m_Rows;
}

std::optional<RunnerIndex> Placement::choose(const std::vector<RunnerRow> &Rows,
                                             const PlacementQuery &Query,
                                             TimePoint Now) {
  if (Rows.empty())
    return std::nullopt;
  std::optional<RunnerIndex> Best;
  double BestCost = std::numeric_limits<double>::max();
  for (const RunnerIndex Index : sample(Rows, Query, Now)) {
    double Cost = cost(Rows[Index], Query);
    if (Query.m_Avoid == Index)
      Cost += AvoidedCost;
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = Index;
  }
  return Best;
}

CapacitySummary Placement::summarize(const std::vector<RunnerRow> &Rows,
                                     std::string_view Service) {
  CapacitySummary Sum;
  for (const RunnerRow &Row : Rows) {
    if (!Row.takesRuns() || Row.m_Health != EndpointHealth::Healthy ||
        Row.m_Endpoint.m_Service != Service)
      continue;
    ++Sum.m_Endpoints;
    Sum.m_MilliCores += Row.m_Endpoint.m_Capacity.m_MilliCores;
    Sum.m_FreeMilliCores +=
        (Row.m_Endpoint.m_Capacity - Row.demand()).m_MilliCores;
  }
  return Sum;
}

Fit Placement::fit(const std::vector<RunnerRow> &Rows, std::string_view Service,
                   const StepDeclaration &Step) {
  Fit Result = Fit::NoEndpoint;
  for (const RunnerRow &Row : Rows) {
    if (!Row.m_Link || Row.m_Endpoint.m_Service != Service)
      continue;
    const bool Holds = isEligible(Row.m_Endpoint, Step) &&
                       Row.m_Endpoint.m_Capacity.holds(Step.m_Need);
    if (Holds && !Row.isEvacuated())
      return Fit::Fits;
    if (Holds)
      Result = Fit::Evacuated;
    else if (Result == Fit::NoEndpoint)
      Result = Fit::TooLarge;
  }
  return Result;
}

std::uint64_t Placement::capacityInService(const std::vector<RunnerRow> &Rows) {
  std::uint64_t MilliCores = 0;
  for (const RunnerRow &Row : Rows)
    if (Row.takesRuns())
      MilliCores += Row.m_Endpoint.m_Capacity.m_MilliCores;
  return MilliCores;
}

} // namespace cyclamencroft
