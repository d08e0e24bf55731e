// Test harness of the scheduler.
#include "JobHarness.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

using namespace std::chrono_literals;

JobCoreOptions makeOptions() {
  JobCoreOptions Options;
  Options.m_EntryId = "entry-1";
  Options.m_FailureDomain = "quimper";
  Options.m_Incarnation = Incarnation{70};
  return Options;
}

} // namespace

JobHarness::JobHarness() : m_Core(makeOptions()) {
  m_Policy.m_Name = "permits";
  m_Policy.m_Service = "desk";
  m_Policy.m_MaxAttempts = 2;
  m_Policy.m_Stretch = 1.6;
  m_Policy.m_TargetLatency = 60ms;
  m_Policy.m_Timeout = 5s;
}

void JobHarness::feed(const JobEvent &Event) {
  const std::size_t Before = m_Commands.size();
  m_Core.handle(m_Now, Event, m_Commands);
  for (std::size_t Index = Before; Index < m_Commands.size(); ++Index)
    if (const auto *Sent = std::get_if<SendMessage>(&m_Commands[Index]))
      if (const auto *Start = std::get_if<StartTask>(&Sent->m_Message)) {
        const auto Agent = static_cast<std::uint64_t>(Sent->m_Link);
        m_OpenRuns.push_back({Agent, *Start});
        ++m_StartsReceived[Agent];
      }
}

void JobHarness::advance(Duration Step) { m_Now += Step; }

void JobHarness::runFor(Duration Time) {
  const TimePoint End = m_Now + Time;
  while (m_Core.nextWakeup() <= End) {
    m_Now = std::max(m_Now, m_Core.nextWakeup());
    feed(Tick{});
    m_Now += 1ms;
  }
  m_Now = std::max(m_Now, End);
}

RunnerHello JobHarness::hello(std::uint64_t Number, std::uint32_t Cores,
                              Incarnation AgentIncarnation) const {
  RunnerHello Hello;
  Hello.m_AgentId = "agent-" + std::to_string(Number);
  Hello.m_Incarnation = AgentIncarnation;
  Hello.m_Endpoint.m_Id = "endpoint-" + std::to_string(Number);
  Hello.m_Endpoint.m_Service = "desk";
  Hello.m_Endpoint.m_FailureDomain = m_FailureDomain;
  Hello.m_Endpoint.m_Capacity = {wholeCores(Cores), 100000, 0};
  Hello.m_Endpoint.m_State = EndpointState::Active;
  return Hello;
}

void JobHarness::connectAgent(std::uint64_t Number, std::uint32_t Cores,
                              Incarnation AgentIncarnation) {
  m_StartsReceived[Number] = 0;
  feed(RunnerConnected{LinkId{Number}, hello(Number, Cores, AgentIncarnation)});
}

JobOffered JobHarness::offer(std::uint64_t Job, std::uint32_t Tasks,
                             Duration Estimate, std::uint32_t Cores) {
  JobOffered Offer;
  Offer.m_Caller = CallerId{++m_Callers};
  Offer.m_Job.m_Id = JobId{Job};
  StepDeclaration Step;
  Step.m_Count = Tasks;
  Step.m_Need = {wholeCores(Cores), 64, 0};
  Step.m_Estimate = Estimate;
  Offer.m_Job.m_Steps = {Step};
  auto Target = std::make_shared<Queue>();
  Target->m_Policy = m_Policy;
  Offer.m_Queue = Target;
  Offer.m_CallerTimeout = 5s;
  return Offer;
}

std::vector<RunName> JobHarness::runsAt(std::uint64_t Agent) const {
  std::vector<RunName> Names;
  for (const OpenRun &Each : m_OpenRuns)
    if (Each.m_Agent == Agent)
      Names.push_back(Each.m_Start.m_Run);
  return Names;
}

std::vector<RunName> JobHarness::allRuns() const {
  std::vector<RunName> Names;
  for (const OpenRun &Each : m_OpenRuns)
    Names.push_back(Each.m_Start.m_Run);
  return Names;
}

EndpointLoad JobHarness::loadOf(std::uint64_t Agent) const {
  EndpointLoad Load;
  for (const OpenRun &Each : m_OpenRuns)
    if (Each.m_Agent == Agent) {
      Load.m_Reserved += Each.m_Start.m_Need;
      ++Load.m_Runs;
    }
  const auto Taken = m_StartsReceived.find(Agent);
  Load.m_StartsReceived = Taken == m_StartsReceived.end() ? 0 : Taken->second;
  const auto Meter = m_Meters.find(Agent);
  if (Meter != m_Meters.end())
    Load.m_Quality = Meter->second.quality(m_Now, {});
  return Load;
}

void JobHarness::endRun(std::uint64_t Agent, const RunName &Run, RunEnd End,
                        StartRefusal Refusal) {
  const auto Found = std::find_if(
      m_OpenRuns.begin(), m_OpenRuns.end(), [&](const OpenRun &Each) {
        return Each.m_Agent == Agent && Each.m_Start.m_Run == Run;
      });
  Duration RunTime{};
  if (Found != m_OpenRuns.end()) {
    RunTime = m_Now - Found->m_Start.m_SentAt;
    if (End == RunEnd::Done)
      m_Meters[Agent].runDone(m_Now, {RunTime, Found->m_Start.m_Estimate});
    if (End == RunEnd::Failed)
      m_Meters[Agent].runFailed(m_Now);
    m_OpenRuns.erase(Found);
  }
  feed(MessageReceived{LinkId{Agent},
                       TaskEnded{Run, End, Refusal, RunTime, loadOf(Agent)}});
}

void JobHarness::endAll() {
  const std::vector<OpenRun> Before = m_OpenRuns;
  for (const OpenRun &Each : Before)
    endRun(Each.m_Agent, Each.m_Start.m_Run);
}

void JobHarness::reportLoad(std::uint64_t Agent) {
  feed(MessageReceived{LinkId{Agent}, LoadReport{loadOf(Agent)}});
}

void JobHarness::reportQuality(std::uint64_t Agent, EndpointQuality Quality) {
  EndpointLoad Load = loadOf(Agent);
  Load.m_Quality = Quality;
  feed(MessageReceived{LinkId{Agent}, LoadReport{Load}});
}

} // namespace cyclamencroft
