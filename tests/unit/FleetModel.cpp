// Event loop of the fleet model. Link ids are the number of the peer, from 1.
#include "FleetModel.h"

#include "jobs/JobOrder.h"

#include <utility>

namespace cyclamencroft {
namespace {

using namespace std::chrono_literals;

constexpr Duration CallTime = 1ms;
constexpr Duration CallerTimeout = 2s;

LinkId linkTo(std::size_t Peer) { return LinkId{Peer + 1}; }
std::size_t peerOf(LinkId Link) { return static_cast<std::size_t>(Link) - 1; }

QueuePtr makeQueue(std::uint32_t Priority) {
  auto Made = std::make_shared<Queue>();
  QueuePolicy &Policy = Made->m_Policy;
  Policy.m_Name = "queue-" + std::to_string(Priority);
  Policy.m_Service = "desk";
  Policy.m_Priority = Priority;
  Policy.m_Stretch = 1.6;
  Policy.m_TargetLatency = 60ms;
  Policy.m_Timeout = 1500ms;
  return Made;
}

} // namespace

FleetModel::FleetModel(std::size_t Entries, std::size_t Endpoints,
                       std::uint32_t Cores) {
  for (std::size_t Entry = 0; Entry < Entries; ++Entry) {
    JobCoreOptions Options;
    Options.m_EntryId = "entry-" + std::to_string(Entry);
    Options.m_Incarnation = Incarnation{Entry + 1};
    Options.m_Seed = Entry + 1;
    m_Entries.push_back(std::make_unique<JobCore>(Options));
  }
  for (std::size_t Index = 0; Index < Endpoints; ++Index) {
    RunnerOptions Options;
    Options.m_AgentId = "agent-" + std::to_string(Index);
    Options.m_Incarnation = Incarnation{Index + 1};
    m_Agents.push_back(
        {std::make_unique<RunnerCore>(Options), ModelEndpoint(Cores)});
    feedAgent(Index, m_Agents[Index].m_Endpoint.heartbeat(m_Now));
    for (std::size_t Entry = 0; Entry < Entries; ++Entry)
      feedAgent(Index, RunnerLinkOpened{linkTo(Entry),
                                        "entry-" + std::to_string(Entry)});
  }
  runFor(100ms);
}

void FleetModel::offer(std::size_t Entry, const Job &Offered) {
  const JobId Id{++m_Jobs};
  JobOffered Event;
  Event.m_Caller = CallerId{m_Jobs};
  Event.m_Job.m_Id = Id;
  StepDeclaration Step;
  Step.m_Count = Offered.m_Tasks;
  Step.m_Need = {wholeCores(Offered.m_CoresPerTask), 1, 0};
  Step.m_Estimate = Offered.m_RunTime;
  Step.m_RequiredLabel = Offered.m_RequiredLabel;
  Event.m_Job.m_Steps = {Step};
  Event.m_Queue = makeQueue(Offered.m_Priority);
  Event.m_CallerTimeout = CallerTimeout;
  const QueuePolicy &Policy = Event.m_Queue->m_Policy;
  m_Pending[Id] = {
      Offered.m_Priority, Offered.m_RunTime,
      timesOf(m_Now, Offered.m_RunTime, Policy, CallerTimeout, {}).m_Objective,
      Offered.m_RequiredLabel};
  ++m_Outcomes[Offered.m_Priority].m_Offered;
  feedEntry(Entry, Event);
}

void FleetModel::runFor(Duration Time) {
  for (const TimePoint End = m_Now + Time; m_Now < End; m_Now += 1ms)
    step();
}

void FleetModel::replaceEndpoint(std::size_t Index,
                                 std::vector<std::string> Labels) {
  ModelEndpoint &Endpoint = m_Agents[Index].m_Endpoint;
  Endpoint.replace(std::move(Labels));
  feedAgent(Index, Endpoint.heartbeat(m_Now));
}

void FleetModel::setSpeed(std::size_t Index, double Speed,
                          std::string WorkerType) {
  ModelEndpoint &Endpoint = m_Agents[Index].m_Endpoint;
  Endpoint.setSpeed(Speed, std::move(WorkerType));
  feedAgent(Index, Endpoint.heartbeat(m_Now));
}

void FleetModel::step() {
  while (!m_Scheduled.empty() && m_Scheduled.begin()->first <= m_Now) {
    const auto Action = m_Scheduled.begin()->second;
    m_Scheduled.erase(m_Scheduled.begin());
    Action();
  }
  for (std::size_t Index = 0; Index < m_Agents.size(); ++Index) {
    if (const auto Answer = m_Agents[Index].m_Endpoint.takeHoldAnswer(m_Now))
      after(CallTime, [this, Index, Answer] { feedAgent(Index, *Answer); });
    if (m_Agents[Index].m_Core->nextWakeup() <= m_Now)
      feedAgent(Index, Tick{});
  }
  for (std::size_t Entry = 0; Entry < m_Entries.size(); ++Entry)
    if (m_Entries[Entry]->nextWakeup() <= m_Now)
      feedEntry(Entry, Tick{});
}

void FleetModel::after(Duration Delay, std::function<void()> Action) {
  m_Scheduled.emplace(m_Now + Delay, std::move(Action));
}

void FleetModel::feedEntry(std::size_t Entry, const JobEvent &Event) {
  std::vector<JobCommand> Commands;
  m_Entries[Entry]->handle(m_Now, Event, Commands);
  for (const JobCommand &Each : Commands)
    carryOut(Entry, Each);
}

void FleetModel::feedAgent(std::size_t Index, const RunnerEvent &Event) {
  std::vector<RunnerCommand> Commands;
  m_Agents[Index].m_Core->handle(m_Now, Event, Commands);
  for (const RunnerCommand &Each : Commands)
    carryOut(Index, Each);
}

void FleetModel::carryOut(std::size_t Entry, const JobCommand &Command) {
  if (const auto *Answer = std::get_if<JobAnswer>(&Command))
    recordAnswer(*Answer);
  if (const auto *Sent = std::get_if<SendMessage>(&Command))
    after(m_MessageDelay, [this, Entry, Sent = *Sent] {
      feedAgent(peerOf(Sent.m_Link),
                MessageReceived{linkTo(Entry), Sent.m_Message});
    });
}

void FleetModel::carryOut(std::size_t Index, const RunnerCommand &Command) {
  ModelEndpoint &Endpoint = m_Agents[Index].m_Endpoint;
  const EndpointMs Clock = ModelEndpoint::clock(m_Now);
  if (const auto *Sent = std::get_if<SendMessage>(&Command))
    after(m_MessageDelay, [this, Index, Sent = *Sent] {
      receive(peerOf(Sent.m_Link), Index, Sent.m_Message);
    });
  if (const auto *Start = std::get_if<CallStart>(&Command)) {
    execute(Index, *Start);
    after(CallTime, [this, Index, Run = Start->m_Run, Clock] {
      feedAgent(Index, StartAnswered{Run, CallFault::None, StartResult::Started,
                                     Clock});
    });
  }
  if (const auto *Stop = std::get_if<CallStop>(&Command)) {
    Endpoint.stop(*Stop);
    after(CallTime, [this, Index, Run = Stop->m_Run, Clock] {
      feedAgent(Index, StopAnswered{Run, CallFault::None, false, Clock});
    });
  }
  if (const auto *Hold = std::get_if<CallHold>(&Command))
    Endpoint.hold(*Hold, m_Now);
  if (const auto *Probe = std::get_if<CallProbe>(&Command))
    after(CallTime, [this, Index, Number = Probe->m_Number] {
      feedAgent(Index, ProbeAnswered{Number, CallFault::None, false,
                                     m_Agents[Index].m_Endpoint.startedAtMs()});
    });
}

void FleetModel::execute(std::size_t Index, const CallStart &Start) {
  const auto Known = m_Pending.find(Start.m_Run.m_Task.m_Job);
  if (Known == m_Pending.end())
    return;
  const PendingJob &Job = Known->second;
  ModelEndpoint &Endpoint = m_Agents[Index].m_Endpoint;
  if (!Job.m_RequiredLabel.empty() && !Endpoint.hasLabel(Job.m_RequiredLabel))
    ++m_MisroutedStarts;
  Endpoint.start(Start, m_Now + Endpoint.runTimeOf(Job.m_RunTime));
}

void FleetModel::receive(std::size_t Entry, std::size_t From,
                         const LinkMessage &Message) {
  if (const auto *Hello = std::get_if<RunnerHello>(&Message))
    feedEntry(Entry, RunnerConnected{linkTo(From), *Hello});
  else
    feedEntry(Entry, MessageReceived{linkTo(From), Message});
}

void FleetModel::recordAnswer(const JobAnswer &Answer) {
  const auto Found = m_Pending.find(Answer.m_Job);
  if (Found == m_Pending.end())
    return;
  Outcomes &Counted = m_Outcomes[Found->second.m_Priority];
  if (Answer.m_Outcome == JobOutcome::NotRun)
    ++Counted.m_NotRun;
  else if (Answer.m_Outcome != JobOutcome::Completed)
    ++Counted.m_GivenUp;
  else
    ++(m_Now <= Found->second.m_ObjectiveAt ? Counted.m_OnTime
                                            : Counted.m_Late);
  m_Pending.erase(Found);
}

} // namespace cyclamencroft
