// Draws and schedules the events of a random session.
#include "RandomSchedule.h"

namespace cyclamencroft::session {
namespace {

using namespace std::chrono_literals;

// Submissions and faults are scheduled within this period.
constexpr Duration FaultPeriod = 12s;

// Fault-free time after FaultPeriod. Deadlines, ejections and leases end well
// within it.
constexpr Duration RecoveryPeriod = 60s;

// Time at which every entry must complete requests again. The last shutdown,
// lease, reconciliation and change of configuration end before it.
constexpr Duration ProbeAt = FaultPeriod + 40s;

constexpr Duration CheckInterval = 50ms;

} // namespace

RandomSchedule::RandomSchedule(std::uint64_t Seed)
    : m_Random(Seed), m_Session(drawLayout()) {}

SessionLayout RandomSchedule::drawLayout() {
  SessionLayout Layout =
      chance(50) ? SessionLayout::eaux() : SessionLayout::salgema();
  Layout.m_Entries = 1 + below(3);
  Layout.m_Workers = 2 + below(5);
  Layout.m_Slots = 1 + below(4);
  Layout.m_Connections = chance(20) ? 1 : 64;
  Layout.m_Seed = m_Random.next() >> 32;
  return Layout;
}

void RandomSchedule::run() {
  scheduleWork();
  scheduleFaults();
  scheduleProbes();
  // Repeated, because a process that is shutting down may end after the first
  // time and then needs a restart.
  for (const Duration Delay : {0s, 10s, 20s})
    m_Session.at(FaultPeriod + Delay, [this] {
      m_Session.note("end all faults");
      m_Session.endFaults();
    });
  for (Duration At = 0s; At < FaultPeriod + RecoveryPeriod;
       At += CheckInterval) {
    m_Session.run(At);
    if (!m_Session.checker().violations().empty())
      return;
  }
  m_Session.checkFinalState();
}

void RandomSchedule::scheduleWork() {
  const std::uint32_t Count = 20 + below(80);
  for (std::uint32_t I = 0; I < Count; ++I)
    m_Session.at(randomTime(FaultPeriod), [this] { submit(); });
}

void RandomSchedule::scheduleFaults() {
  const std::uint32_t Count = below(25);
  for (std::uint32_t I = 0; I < Count; ++I)
    m_Session.at(randomTime(FaultPeriod), [this] { injectFault(); });
}

void RandomSchedule::scheduleProbes() {
  m_Session.at(ProbeAt - 5s, [this] { m_Session.publish("ordinary", "e1"); });
  for (std::uint32_t I = 1; I <= m_Session.layout().m_Entries; ++I)
    m_Session.at(ProbeAt, [this, I] {
      SubmissionOptions Probe;
      Probe.m_Entry = "e" + std::to_string(I);
      Probe.m_MustComplete = true;
      Probe.m_Deadline = 5s;
      Probe.m_Task.m_RunTime = 20ms;
      Probe.m_Name = "probe" + std::to_string(I);
      m_Session.submit(Probe);
      Probe.m_Name += "job";
      Probe.m_JobTasks = 5;
      m_Session.submit(Probe);
    });
}

void RandomSchedule::submit() {
  SubmissionOptions Options;
  Options.m_Name = "s" + std::to_string(++m_Submissions);
  Options.m_Entry = randomEntry();
  Options.m_Task.m_RunTime = Duration(1000 + below(400000));
  if (chance(10))
    Options.m_Task.m_RunTime = Duration(1000000 + below(3000000));
  static const char *const Modes[] = {"fail", "lost", "hang"};
  if (chance(12))
    Options.m_Task.m_Mode = Modes[below(3)];
  if (chance(30))
    Options.m_JobTasks = 1 + below(30);
  else
    Options.m_NonIdempotent = chance(50);
  if (Options.m_NonIdempotent && chance(30))
    Options.m_Key = "key" + std::to_string(below(3));
  if (chance(30))
    Options.m_Deadline = Duration(20000 + below(3000000));
  if (chance(20))
    Options.m_Team = chance(50) ? "billing" : "field";
  if (chance(3))
    Options.m_Need.m_Accelerators = 1;
  m_Session.submit(Options);
}

void RandomSchedule::injectFault() {
  const std::uint32_t Kind = below(20);
  if (Kind < 6)
    injectLinkFault(Kind);
  else if (Kind < 11)
    injectProcessFault(Kind - 6);
  else if (Kind < 15)
    injectEndpointFault(Kind - 11);
  else if (Kind < 17)
    injectCallerFault(Kind - 15);
  else
    changeConfig(Kind - 17);
}

void RandomSchedule::injectLinkFault(std::uint32_t Kind) {
  std::string A = randomEntry();
  std::string B = chance(15) ? randomEntry() : randomAgent();
  if (A == B)
    B = randomAgent();
  if (Kind <= 1) {
    breakLink(A, B, Kind == 0);
  } else if (Kind <= 3) {
    if (Kind == 3)
      std::swap(A, B);
    m_Session.note("hold " + A + " " + B);
    m_Session.network().hold(A, B);
    atRandomTime(4s, [this, A, B] {
      m_Session.note("release " + A + " " + B);
      m_Session.network().release(A, B);
    });
  } else if (Kind == 4) {
    duplicate(A, B, "Dispatch");
  } else {
    static const char *const Types[] = {"TaskResult", "TaskRefused",
                                        "ReconcileReply"};
    duplicate(B, A, Types[below(3)]);
  }
}

void RandomSchedule::breakLink(const std::string &A, const std::string &B,
                               bool RestoreAtOnce) {
  m_Session.note("break " + A + " " + B);
  m_Session.network().cut(A, B);
  if (RestoreAtOnce)
    m_Session.network().restore(A, B);
  else
    atRandomTime(4s, [this, A, B] { m_Session.network().restore(A, B); });
  // Messages lost in transit may be delivered on the next link.
  for (int I = 0; I < 4; ++I)
    atRandomTime(2s, [this, A, B] { duplicate(A, B, "Dispatch"); });
}

void RandomSchedule::duplicate(const std::string &From, const std::string &To,
                               const std::string &Type) {
  const std::uint32_t SkipNewest = below(6);
  if (m_Session.network().duplicate(From, To, Type, SkipNewest))
    m_Session.note("duplicate " + Type + " " + From + " " + To +
                   " skip=" + std::to_string(SkipNewest));
}

void RandomSchedule::injectProcessFault(std::uint32_t Kind) {
  const std::string Name = chance(70) ? randomAgent() : randomEntry();
  if (Kind == 0) {
    m_Session.restart(Name);
  } else if (Kind == 1) {
    m_Session.kill(Name);
    atRandomTime(3s, [this, Name] { m_Session.restart(Name); });
  } else if (Kind <= 3) {
    m_Session.freeze(Name);
    atRandomTime(6s, [this, Name] { m_Session.thaw(Name); });
  } else {
    m_Session.shutDown(Name);
  }
}

void RandomSchedule::injectEndpointFault(std::uint32_t Kind) {
  const std::string Agent = randomAgent();
  if (Kind == 0)
    m_Session.endpointLeaves(Agent);
  else if (Kind == 1)
    m_Session.killEndpoint(Agent);
  else if (Kind == 2)
    m_Session.stopAnnouncing(Agent);
  else
    m_Session.setFailEveryTask(Agent, true);
  atRandomTime(5s, [this, Agent, Kind] {
    if (Kind == 3)
      m_Session.setFailEveryTask(Agent, false);
    else
      m_Session.endpointReturns(Agent);
  });
}

void RandomSchedule::injectCallerFault(std::uint32_t Kind) {
  if (m_Submissions == 0)
    return;
  const std::string Name = "s" + std::to_string(1 + below(m_Submissions));
  if (Kind == 0)
    m_Session.cancel(Name);
  else
    m_Session.disconnectCaller(Name);
}

void RandomSchedule::changeConfig(std::uint32_t Kind) {
  static const char *const Presets[] = {"ordinary", "peak", "maintenance",
                                        "queue", "random"};
  const auto &Domains = m_Session.layout().m_FailureDomains;
  const std::string Entry = randomEntry();
  if (Kind == 0)
    m_Session.publish(Presets[below(5)], Entry);
  else if (Kind == 1)
    m_Session.publish("drain-" + Domains[below(3)], Entry);
  else
    m_Session.offerVersion(1, Entry);
}

Duration RandomSchedule::randomTime(Duration Span) {
  return m_Session.now() +
         Duration(below(static_cast<std::uint32_t>(Span.count())));
}

std::string RandomSchedule::randomEntry() {
  return "e" + std::to_string(1 + below(m_Session.layout().m_Entries));
}

std::string RandomSchedule::randomAgent() {
  return "w" + std::to_string(1 + below(m_Session.layout().m_Workers));
}

void RandomSchedule::atRandomTime(Duration Span, EventQueue::Callback OnDue) {
  m_Session.at(randomTime(Span), std::move(OnDue));
}

} // namespace cyclamencroft::session
