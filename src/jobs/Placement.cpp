// Least load among a sample of healthy endpoints, with costs for slowness and
// distance.
#include "jobs/Placement.h"

#include <algorithm>
#include <limits>

namespace cyclamencroft {
namespace {

/// Rows that one choice looks at; bounds its cost at thousands of endpoints,
/// where a sample this large holds one that is nearly the least loaded.
constexpr std::size_t MostCandidates = 64;

/// Candidates that a choice compares. Entries see the same loads, a little
/// late: if each took the least loaded of all, they would meet at the same
/// endpoint and all but one would be refused.
constexpr std::size_t SampleSize = 4;

/// Runs at this multiple of the usual ratio make short tasks miss an objective
/// of 1.6 times their run time.
constexpr double SlowFactor = 2.0;

/// An endpoint that fails fewer of its runs is left in; single failures are
/// normal.
constexpr std::uint32_t LeastFailedPercent = 30;

/// Multiple of the usual share of failed runs: more of them everywhere speak of
/// hopeless jobs rather than of bad endpoints.
constexpr std::uint32_t FailingFactor = 3;

/// An endpoint that is left out gets a run after this time without one, from
/// one in so many choices.
constexpr Duration ProbeAfter = std::chrono::milliseconds(1500);
constexpr std::uint32_t ProbeOneIn = 16;

constexpr std::uint32_t WholePercent = 100;

// Costs are fractions of an endpoint's room.
constexpr double SlownessCost = 0.3;
constexpr double OtherRackCost = 0.3;
constexpr double AvoidedCost = 2.0;

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

std::string_view toString(EndpointVerdict Verdict) {
  switch (Verdict) {
  case EndpointVerdict::Sound:
    return "sound";
  case EndpointVerdict::Slow:
    return "slow";
  case EndpointVerdict::Failing:
    return "failing";
  }
  return "invalid";
}

void Placement::learnUsual(const std::vector<RunnerRow> &Rows) {
  std::vector<std::uint32_t> RunTimes;
  std::vector<std::uint32_t> Failures;
  for (const RunnerRow &Row : Rows) {
    const EndpointQuality &Quality = Row.m_Load.m_Quality;
    if (!Row.takesRuns() || Quality.m_RunTimePercent == 0)
      continue;
    RunTimes.push_back(Quality.m_RunTimePercent);
    Failures.push_back(Quality.m_FailedPercent);
  }
  m_UsualRunTimePercent = medianOf(std::move(RunTimes), WholePercent);
  m_UsualFailedPercent = medianOf(std::move(Failures), 0);
}

EndpointVerdict Placement::judge(const RunnerRow &Row) const {
  const EndpointQuality &Quality = Row.m_Load.m_Quality;
  if (Row.m_Stalled ||
      Quality.m_RunTimePercent > SlowFactor * m_UsualRunTimePercent)
    return EndpointVerdict::Slow;
  if (Quality.m_FailedPercent >= LeastFailedPercent &&
      Quality.m_FailedPercent > FailingFactor * m_UsualFailedPercent)
    return EndpointVerdict::Failing;
  return EndpointVerdict::Sound;
}

/// Whether a run is sent to an endpoint that is left out, to see if it has
/// recovered. All entries wait for that run, and a draw keeps them from sending
/// one each.
bool Placement::probes(const RunnerRow &Row, TimePoint Now) {
  const Duration Age =
      Row.m_Load.m_Quality.m_SampleAge + (Now - std::min(Now, Row.m_LoadAt));
  return Row.m_Load.m_Runs == 0 && Row.m_Unseen.empty() && Age > ProbeAfter &&
         m_Random.below(ProbeOneIn) == 0;
}

bool Placement::isCandidate(const RunnerRow &Row,
                            const PlacementQuery &Query) const {
  const StepDeclaration &Step = *Query.m_Step;
  if (!Row.takesRuns() || Row.m_Endpoint.m_Service != Query.m_Service ||
      !isEligible(Row.m_Endpoint, Step) ||
      !Row.m_Endpoint.m_Room.holds(Row.demand() + Step.m_Need))
    return false;
  return Step.m_MostPerEndpoint == 0 ||
         runsOfStep(Row, Query) < Step.m_MostPerEndpoint;
}

double Placement::cost(const RunnerRow &Row,
                       const PlacementQuery &Query) const {
  const StepDeclaration &Step = *Query.m_Step;
  const Size Demand = Row.demand() + Step.m_Need;
  const double Room = std::max(1U, Row.m_Endpoint.m_Room.m_MilliCores);
  double Cost = Demand.m_MilliCores / Room;
  const std::uint32_t RunTimePercent = Row.m_Load.m_Quality.m_RunTimePercent;
  if (RunTimePercent != 0)
    Cost += SlownessCost *
            (static_cast<double>(RunTimePercent) / m_UsualRunTimePercent - 1);
  if (!Step.m_DataRack.empty() && !hasLabel(Row.m_Endpoint, Step.m_DataRack))
    Cost += OtherRackCost;
  return Cost;
}

std::vector<RunnerIndex> Placement::sample(const std::vector<RunnerRow> &Rows,
                                           const PlacementQuery &Query,
                                           TimePoint Now) {
  const std::size_t First =
      m_Random.below(static_cast<std::uint32_t>(Rows.size()));
  std::vector<RunnerIndex> Sample;
  std::uint32_t Candidates = 0;
  for (std::size_t Step = 0; Step < Rows.size() && Candidates < MostCandidates;
       ++Step) {
    const auto Index = static_cast<RunnerIndex>((First + Step) % Rows.size());
    if (!isCandidate(Rows[Index], Query))
      continue;
    if (Rows[Index].m_Verdict != EndpointVerdict::Sound) {
      if (probes(Rows[Index], Now))
        return {Index};
      continue;
    }
    ++Candidates;
    // Each candidate stays in the sample with the same probability.
    if (Sample.size() < SampleSize) {
      Sample.push_back(Index);
      continue;
    }
    const std::uint32_t Slot = m_Random.below(Candidates);
    if (Slot < SampleSize)
      Sample[Slot] = Index;
  }
  return Sample;
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

RoomSummary Placement::summarize(const std::vector<RunnerRow> &Rows,
                                 std::string_view Service) {
  RoomSummary Sum;
  for (const RunnerRow &Row : Rows) {
    if (!Row.takesRuns() || Row.m_Verdict != EndpointVerdict::Sound ||
        Row.m_Endpoint.m_Service != Service)
      continue;
    ++Sum.m_Endpoints;
    Sum.m_MilliCores += Row.m_Endpoint.m_Room.m_MilliCores;
    Sum.m_FreeMilliCores += (Row.m_Endpoint.m_Room - Row.demand()).m_MilliCores;
  }
  return Sum;
}

Fit Placement::fit(const std::vector<RunnerRow> &Rows, std::string_view Service,
                   const StepDeclaration &Step) {
  Fit Result = Fit::NoEndpoint;
  for (const RunnerRow &Row : Rows) {
    if (!Row.m_Link || Row.m_Endpoint.m_Service != Service)
      continue;
    if (isEligible(Row.m_Endpoint, Step) &&
        Row.m_Endpoint.m_Room.holds(Step.m_Need))
      return Fit::Fits;
    Result = Fit::TooLarge;
  }
  return Result;
}

} // namespace cyclamencroft
