// Chooses fault kinds with fixed weights, so that a change of one kind's
// parameters leaves the other faults of a seed as they are.
#include "soak/Faults.h"

#include "entry/RandomSource.h"

#include <algorithm>
#include <array>

namespace cyclamencroft::soak {
namespace {

using std::chrono::milliseconds;

/// Faults last between ShortestFault and this much longer.
constexpr Duration MinFaultDuration = milliseconds(200);
constexpr std::uint32_t FaultDurationSpreadMs = 3800;

constexpr std::uint32_t FaultsPerHostReset = 6;
constexpr std::uint32_t HostResetSharePercent = 50;

constexpr std::uint32_t FaultsPerEvacuation = 6;

constexpr std::uint32_t FaultsPerForeignAnnouncement = 4;

constexpr std::array<const char *, 7> LinkModes = {
    R"({"mode":"cut"})",
    R"({"mode":"reset"})",
    R"({"mode":"stall"})",
    R"({"mode":"stall-up"})",
    R"({"mode":"stall-down"})",
    R"({"mode":"delay","delay_ms":80})",
    R"({"mode":"delay","delay_ms":700})"};

template <class E> E randomValue(RandomSource &Random, E Last) {
  return static_cast<E>(Random.below(static_cast<std::uint32_t>(Last) + 1));
}

FaultKind randomKind(RandomSource &Random, const SoakSettings &RunSettings) {
  constexpr std::uint32_t TotalWeight = 20;
  const std::uint32_t Kind = Random.below(TotalWeight);
  if (Kind < 6) {
    ProcessFault Generated;
    Generated.m_Role = Kind < 3 ? Role::Entry : Role::Agent;
    Generated.m_Target = Random.below(Kind < 3 ? RunSettings.m_Entries
                                               : RunSettings.m_Endpoints);
    Generated.m_Type = randomValue(Random, ProcessFault::Type::HangUp);
    return Generated;
  }
  if (Kind < 10)
    return LinkFault{Random.below(RunSettings.m_Endpoints),
                     Random.below(RunSettings.m_Entries),
                     LinkModes.at(Random.below(LinkModes.size()))};
  if (Kind < 13) {
    StoreFault Generated;
    if (Random.below(2) == 0)
      Generated.m_Client =
          Random.below(RunSettings.m_Entries + RunSettings.m_Endpoints);
    Generated.m_Type = randomValue(Random, StoreFault::Type::TruncatedHistory);
    return Generated;
  }
  if (Kind < 17)
    return EndpointFault{Random.below(RunSettings.m_Endpoints),
                         randomValue(Random, EndpointFault::Type::TokenJump)};
  if (Kind < 18)
    return TrafficFault{randomValue(Random, TrafficFault::Type::FailingJobs)};
  return ConfigurationChange{};
}

std::string text(const ProcessFault &Each) {
  constexpr std::array<const char *, 4> Names = {"kill", "terminate", "freeze",
                                                 "hang-up"};
  return std::string(Names.at(static_cast<std::size_t>(Each.m_Type))) +
         (Each.m_Role == Role::Entry ? " entry " : " agent ") +
         std::to_string(Each.m_Target);
}

std::string text(const LinkFault &Each) {
  return "link of agent " + std::to_string(Each.m_Agent) + " to entry " +
         std::to_string(Each.m_Entry) + " " + Each.m_Mode;
}

std::string text(const StoreFault &Each) {
  constexpr std::array<const char *, 5> Names = {"unresponsive", "unavailable",
                                                 "slow", "loses responses",
                                                 "truncates history"};
  return std::string("store ") +
         Names.at(static_cast<std::size_t>(Each.m_Type)) +
         (Each.m_Client ? " for client " + std::to_string(*Each.m_Client)
                        : " for all");
}

std::string text(const EndpointFault &Each) {
  constexpr std::array<const char *, 10> Names = {
      "crashes",
      "is unresponsive",
      "fails all",
      "hangs",
      "is slow",
      "delays commands",
      "loses responses",
      "is replaced",
      "has a higher token",
      "is announced by other writers"};
  return "endpoint " + std::to_string(Each.m_Target) + " " +
         Names.at(static_cast<std::size_t>(Each.m_Type));
}

std::string text(const TrafficFault &Each) {
  constexpr std::array<const char *, 3> Names = {"burst", "callers disconnect",
                                                 "failing jobs"};
  return Names.at(static_cast<std::size_t>(Each.m_Type));
}

std::string text(const HostResets &Each) {
  return std::to_string(Each.m_SharePercent) +
         "% of the connections of entry " + std::to_string(Each.m_Entry) +
         " are reset";
}

std::string text(const Evacuation &Each) {
  return "failure domain " + std::to_string(Each.m_Domain) + " is evacuated";
}

std::string text(const ConfigurationChange &) { return "configuration"; }

/// Returns a fault whose kind is still to be set.
Fault faultAtRandomTime(RandomSource &Random, const SoakSettings &Settings) {
  const auto SpanMs = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(Settings.m_FaultPhase).count());
  Fault Generated;
  Generated.m_At = milliseconds(Random.below(SpanMs));
  Generated.m_Duration =
      MinFaultDuration + milliseconds(Random.below(FaultDurationSpreadMs));
  return Generated;
}

} // namespace

std::vector<Fault> generateFaults(const SoakSettings &Settings) {
  RandomSource Random(Settings.m_Seed);
  const auto Count = static_cast<std::uint32_t>(Settings.m_FaultPhase /
                                                Settings.m_FaultInterval);
  std::vector<Fault> Plan;
  for (std::uint32_t Number = 0; Number < Count; ++Number) {
    Fault Generated = faultAtRandomTime(Random, Settings);
    Generated.m_Kind = randomKind(Random, Settings);
    Plan.push_back(Generated);
  }
  // Drawn after all others, which stay as they are for a seed.
  for (std::uint32_t Number = 0; Number < Count / FaultsPerHostReset;
       ++Number) {
    Fault Generated = faultAtRandomTime(Random, Settings);
    Generated.m_Kind =
        HostResets{Random.below(Settings.m_Entries), HostResetSharePercent};
    Plan.push_back(Generated);
  }
  for (std::uint32_t Number = 0; Number < Count / FaultsPerEvacuation;
       ++Number) {
    Fault Generated = faultAtRandomTime(Random, Settings);
    // Long enough for starts after the bound to be seen, and over before the
    // service is expected to recover.
    Generated.m_At /= 2;
    Generated.m_Duration += Bounds::MaxEvacuationDelay;
    Generated.m_Kind = Evacuation{Random.below(Settings.m_Domains)};
    Plan.push_back(Generated);
  }
  for (std::uint32_t Number = 0; Number < Count / FaultsPerForeignAnnouncement;
       ++Number) {
    Fault Generated = faultAtRandomTime(Random, Settings);
    Generated.m_Kind = EndpointFault{Random.below(Settings.m_Endpoints),
                                     EndpointFault::Type::ForeignAnnouncements};
    Plan.push_back(Generated);
  }
  std::stable_sort(
      Plan.begin(), Plan.end(),
      [](const Fault &A, const Fault &B) { return A.m_At < B.m_At; });
  return Plan;
}

std::string describe(const Fault &Each) {
  const auto Ms = [](Duration Time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(Time).count());
  };
  return "at " + Ms(Each.m_At) + " ms for " + Ms(Each.m_Duration) + " ms: " +
         std::visit([](const auto &Kind) { return text(Kind); }, Each.m_Kind);
}

} // namespace cyclamencroft::soak
