// Creates the processes of a session and runs its events.
#include "Session.h"

#include <stdexcept>

namespace cyclamencroft::session {
namespace {

using namespace std::chrono_literals;

// Interval between endpoint announcements: three within the lease of 3 s.
constexpr Duration RenewalInterval = 1s;

// Time that a restarted entry takes to read its configuration from the log.
constexpr Duration LogReadDelay = 50ms;

// More steps at the same time mean that a timer stays due or that processes
// exchange messages without end.
constexpr int MaxStepsAtOneTime = 20000;

constexpr std::uint32_t WorkersPerRack = 3;

} // namespace

SessionLayout SessionLayout::eaux() {
  SessionLayout Layout;
  Layout.m_Latency = 500us;
  Layout.m_ClientLatency = 1ms;
  Layout.m_FailureDomains = {"quimper", "brest", "morlaix"};
  Layout.m_Service = "permits";
  Layout.m_WorkerSize = Size{wholeCores(64), 131072, 0};
  return Layout;
}

SessionLayout SessionLayout::salgema() {
  SessionLayout Layout;
  Layout.m_Latency = 900us;
  Layout.m_ClientLatency = 3ms;
  Layout.m_FailureDomains = {"santander", "oviedo", "potes"};
  Layout.m_Service = "refills";
  Layout.m_WorkerSize = Size{wholeCores(16), 32768, 0};
  return Layout;
}

Session::Session(SessionLayout Layout)
    : m_Layout(std::move(Layout)),
      m_Context(std::make_unique<SessionContext>(m_Layout.m_Latency,
                                                 m_Layout.m_FailureDomains)) {
  for (std::uint32_t I = 1; I <= m_Layout.m_Entries; ++I)
    m_EntryNames.push_back("e" + std::to_string(I));
  m_Context->m_Config.publish("ordinary");
  for (const std::string &Name : m_EntryNames)
    startEntry(Name);
  for (std::uint32_t I = 1; I <= m_Layout.m_Workers; ++I)
    addWorker(I);
}

Duration Session::nextClockOffset() {
  return std::chrono::hours(100) + m_NextIncarnation * std::chrono::minutes(7);
}

void Session::startEntry(const std::string &Name) {
  EntryOptions Options;
  Options.m_EntryId = Name;
  Options.m_Incarnation = Incarnation{m_NextIncarnation++};
  Options.m_FailureDomain = m_Layout.m_FailureDomains.front();
  Options.m_ConfiguredEntries = m_Layout.m_Entries;
  Options.m_Seed = m_Layout.m_Seed * 1000 + m_NextIncarnation;
  auto Node =
      std::make_unique<EntryNode>(*m_Context, Options, nextClockOffset());
  EntryNode &Entry = *Node;
  m_Entries[Name] = &Entry;
  m_Nodes.push_back(std::move(Node));
  std::vector<std::string> Peers;
  for (const std::string &Peer : m_EntryNames)
    if (Peer > Name)
      Peers.push_back(Peer);
  Entry.start(Peers);
  const Duration Delay = now() == 0us ? 0us : LogReadDelay;
  at(now() + Delay, [this, &Entry] {
    Entry.receiveConfig(m_Context->m_Config.find(m_Context->m_Config.newest()));
  });
}

void Session::addWorker(std::uint32_t Number) {
  const std::string Name = "w" + std::to_string(Number);
  EndpointAnnounced Announcement;
  Announcement.m_Service = m_Layout.m_Service;
  Announcement.m_Address = "10.0.0." + std::to_string(Number) + ":80";
  Announcement.m_Slots = m_Layout.m_Slots;
  Announcement.m_Connections = m_Layout.m_Connections;
  Announcement.m_Size = m_Layout.m_WorkerSize;
  WorkerRecord &Record = m_Workers[Name];
  Record.m_Endpoint = std::make_unique<FakeEndpoint>(
      m_Context->m_Events, Announcement,
      [&Record](const RunEnded &End) { Record.m_Agent->runEnded(End); });
  startAgent(Name);
  announce(Name);
}

void Session::startAgent(const std::string &Name) {
  const std::uint32_t Rack =
      (static_cast<std::uint32_t>(std::stoul(Name.substr(1))) - 1) /
      WorkersPerRack;
  const auto &Domains = m_Layout.m_FailureDomains;
  AgentOptions Options;
  Options.m_AgentId = Name;
  Options.m_Incarnation = Incarnation{m_NextIncarnation++};
  // Later processes have later times of day.
  constexpr std::uint64_t LinksPerProcess = 1'000'000;
  Options.m_FirstLink = LinkNumber{m_NextIncarnation * LinksPerProcess};
  Options.m_FailureDomain = Domains[Rack % Domains.size()];
  Options.m_Rack = "rack" + std::to_string(Rack + 1);
  Options.m_Entries = m_Layout.m_Entries;
  Options.m_Seed = m_Layout.m_Seed * 1000 + m_NextIncarnation;
  WorkerRecord &Record = m_Workers.at(Name);
  auto Node = std::make_unique<AgentNode>(
      *m_Context, Options, nextClockOffset(), *Record.m_Endpoint);
  Record.m_Agent = Node.get();
  m_Nodes.push_back(std::move(Node));
  Record.m_Agent->startWith(m_EntryNames);
}

void Session::announce(const std::string &Agent) {
  WorkerRecord &Record = m_Workers.at(Agent);
  if (Record.m_Announces && Record.m_Endpoint->alive())
    Record.m_Agent->endpointAnnounced();
  at(now() + RenewalInterval, [this, Agent] { announce(Agent); });
}

void Session::at(Duration DueAt, EventQueue::Callback OnDue) {
  m_Context->m_Events.schedule(DueAt, std::move(OnDue));
}

void Session::note(const std::string &Text) {
  transcript().add(now(), "--", Text);
}

SessionNode &Session::node(const std::string &Name) {
  const auto Entry = m_Entries.find(Name);
  if (Entry != m_Entries.end())
    return *Entry->second;
  return *m_Workers.at(Name).m_Agent;
}

SessionNode *Session::nextNodeDue(Duration &DueAt) {
  SessionNode *Next = nullptr;
  DueAt = Duration::max();
  const auto ConsiderNode = [&Next, &DueAt](SessionNode &Node) {
    if (Node.nextTimerAt() >= DueAt)
      return;
    DueAt = Node.nextTimerAt();
    Next = &Node;
  };
  for (const auto &[Name, Entry] : m_Entries)
    ConsiderNode(*Entry);
  for (const auto &[Name, Record] : m_Workers)
    ConsiderNode(*Record.m_Agent);
  return Next;
}

void Session::run(Duration Until) {
  int Steps = 0;
  EventQueue &Events = m_Context->m_Events;
  for (;;) {
    const Duration StepStart = now();
    Duration TimerDueAt{};
    SessionNode *Node = nextNodeDue(TimerDueAt);
    if (std::min(Events.nextDueAt(), TimerDueAt) > Until)
      break;
    if (Events.nextDueAt() <= TimerDueAt) {
      Events.runNext();
    } else {
      Events.advanceTo(TimerDueAt);
      Node->runTimer();
    }
    Steps = now() == StepStart ? Steps + 1 : 0;
    if (Steps > MaxStepsAtOneTime) {
      checker().addViolation("no progress: too many steps at " +
                             formatTime(now()) + ", last at " +
                             (Node ? Node->name() : "none"));
      break;
    }
  }
  Events.advanceTo(Until);
}

void Session::submit(const SubmissionOptions &Options) {
  CallerRecord Record;
  Record.m_Id = CallerId{m_NextCaller};
  Record.m_Request = Options.m_ReuseIdOf.empty()
                         ? RequestId{0xc0ffee, m_NextCaller}
                         : m_Callers.at(Options.m_ReuseIdOf).m_Request;
  Record.m_Entry = Options.m_Entry;
  ++m_NextCaller;
  m_Callers[Options.m_Name] = Record;
  if (Options.m_ReuseIdOf.empty())
    transcript().nameRequest(Record.m_Request, Options.m_Name);
  at(now() + m_Layout.m_ClientLatency,
     [this, Options, Record] { deliver(Options, Record); });
}

void Session::deliver(const SubmissionOptions &Options,
                      const CallerRecord &Record) {
  EntryNode &Entry = *m_Entries.at(Options.m_Entry);
  if (!Entry.alive()) {
    note("the connection of " + Options.m_Name + " is refused");
    return;
  }
  Submission Submitted;
  Submitted.m_Name = Options.m_Name;
  Submitted.m_Request = Record.m_Request;
  Submitted.m_IsJob = Options.m_JobTasks > 0;
  Submitted.m_NonIdempotent = Options.m_NonIdempotent;
  Submitted.m_Entry = Options.m_Entry;
  Submitted.m_MustComplete = Options.m_MustComplete;
  for (std::uint32_t I = 0; I < std::max(Options.m_JobTasks, 1U); ++I) {
    TaskBehavior Task = Options.m_Task;
    Task.m_Name = Options.m_Name + "." + std::to_string(I);
    Submitted.m_Bodies.push_back(Task.toBody());
  }
  const TraceContext Trace{Record.m_Request, 0};
  if (!Submitted.m_IsJob) {
    Entry.submitRequest(
        RequestArrived{Record.m_Id, Record.m_Request, m_Layout.m_Service,
                       Options.m_Team, Options.m_NonIdempotent, Options.m_Key,
                       Options.m_Deadline, Options.m_Need, Trace,
                       makePayload(Submitted.m_Bodies.front())},
        Submitted);
    return;
  }
  JobSubmitted Job{Record.m_Id,
                   Record.m_Request,
                   m_Layout.m_Service,
                   Options.m_Team,
                   Options.m_Deadline,
                   Options.m_Need,
                   Trace,
                   {}};
  for (const std::string &Body : Submitted.m_Bodies)
    Job.m_Tasks.push_back(makePayload(Body));
  Entry.submitJob(Job, Submitted);
}

void Session::cancel(const std::string &Submission) {
  const CallerRecord &Record = m_Callers.at(Submission);
  m_Entries.at(Record.m_Entry)->cancel(Record.m_Request);
}

void Session::disconnectCaller(const std::string &Submission) {
  const CallerRecord &Record = m_Callers.at(Submission);
  note("the caller of " + Submission + " leaves");
  checker().expectNoAnswer(Record.m_Id);
  m_Entries.at(Record.m_Entry)->callerDisconnected(Record.m_Id);
}

} // namespace cyclamencroft::session
