// Test harness for the decision core of the run agent.
#include "RunnerHarness.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace cyclamencroft {
namespace {

RunnerOptions makeOptions() {
  RunnerOptions Options;
  Options.m_AgentId = "agent-1";
  Options.m_Incarnation = Incarnation{5};
  Options.m_FencingToken = 100;
  return Options;
}

} // namespace

RunName runNamed(std::uint32_t Index, std::uint32_t Number) {
  return {{JobId{0xabc}, 0, Index}, Number};
}

RunnerHarness::RunnerHarness() : m_Core(makeOptions()) {}

void RunnerHarness::feed(const RunnerEvent &Event) {
  const std::size_t Before = m_Commands.size();
  m_Core.handle(m_Now, Event, m_Commands);
  std::optional<CallProbe> Probe;
  for (std::size_t Index = Before; Index < m_Commands.size(); ++Index) {
    record(m_Commands[Index]);
    if (const auto *Sent = std::get_if<CallProbe>(&m_Commands[Index]))
      Probe = *Sent;
  }
  if (Probe && m_AnswersProbes)
    answerProbe(CallFault::None, Probe->m_Call.m_Endpoint.m_StartedAtMs);
}

void RunnerHarness::answerProbe(CallFault Fault, std::uint64_t StartedAtMs) {
  const std::uint64_t Number = commands<CallProbe>().back().m_Number;
  feed(ProbeAnswered{Number, Fault, false, StartedAtMs});
}

void RunnerHarness::record(const RunnerCommand &Command) {
  if (const auto *Hold = std::get_if<CallHold>(&Command))
    m_LatestHold = Hold->m_Number;
  const auto *Sent = std::get_if<SendMessage>(&Command);
  if (!Sent)
    return;
  if (const auto *Hello = std::get_if<RunnerHello>(&Sent->m_Message))
    m_Generation = Hello->m_Endpoint.m_Generation;
  if (const auto *Report = std::get_if<EndpointReport>(&Sent->m_Message))
    m_Generation = Report->m_Endpoint.m_Generation;
}

void RunnerHarness::advance(Duration Step) { m_Now += Step; }

void RunnerHarness::runFor(Duration Time) {
  const TimePoint End = m_Now + Time;
  while (m_Core.nextWakeup() <= End) {
    m_Now = std::max(m_Now, m_Core.nextWakeup());
    feed(Tick{});
    m_Now += std::chrono::milliseconds(1);
  }
  m_Now = std::max(m_Now, End);
}

EndpointHeartbeat RunnerHarness::heartbeat(std::uint64_t StartedAtMs,
                                           std::uint64_t Sequence,
                                           EndpointState State) const {
  EndpointHeartbeat Beat;
  Beat.m_EndpointIncarnation = {"endpoint-1", StartedAtMs};
  Beat.m_Sequence = Sequence;
  Beat.m_Address = "127.0.0.1:9";
  Beat.m_Clock = 50000;
  Beat.m_View.m_Id = "endpoint-1";
  Beat.m_View.m_Service = "permits";
  Beat.m_View.m_Capacity = {wholeCores(10), 1024, 0};
  Beat.m_View.m_State = State;
  return Beat;
}

void RunnerHarness::bringUp(std::uint64_t StartedAtMs) {
  m_StartedAtMs = StartedAtMs;
  feed(heartbeat(StartedAtMs, 1));
  answerHold({});
}

void RunnerHarness::openLink(LinkId Opened, Incarnation Id) {
  feed(RunnerLinkOpened{Opened, "127.0.0.1:80"});
  answerHello(Opened, Id);
}

void RunnerHarness::answerHello(LinkId Opened, Incarnation Id) {
  EntryHello Hello;
  Hello.m_EntryId = "entry-1";
  Hello.m_Incarnation = Id;
  Hello.m_SentAt = m_Now;
  feed(MessageReceived{Opened, Hello});
}

void RunnerHarness::sendLease(LinkId From) {
  feed(MessageReceived{From, EntryLease{m_Now}});
}

void RunnerHarness::startTask(const RunName &Run, std::uint32_t Cores) {
  feed(MessageReceived{Link, StartTask{Run,
                                       m_Generation,
                                       {wholeCores(Cores), 1, 0},
                                       m_Now,
                                       {},
                                       std::chrono::milliseconds(100),
                                       nullptr}});
}

void RunnerHarness::answerStart(const RunName &Run, StartResult Result) {
  feed(StartAnswered{Run, CallFault::None, Result, 50000});
}

void RunnerHarness::startAndAnswer(const RunName &Run, std::uint32_t Cores) {
  startTask(Run, Cores);
  answerStart(Run);
}

TaskEnded RunnerHarness::onlyEnd() const {
  const auto Ends = messages<TaskEnded>();
  BOOST_REQUIRE(Ends.size() == 1);
  return Ends.front();
}

void RunnerHarness::answerHold(std::vector<RunName> Running,
                               std::vector<EndedRun> Ended) {
  HoldAnswered Answer;
  Answer.m_Call = m_LatestHold;
  Answer.m_StartedAtMs = m_StartedAtMs;
  Answer.m_Clock = 50000;
  Answer.m_Running = std::move(Running);
  Answer.m_Ended = std::move(Ended);
  advance(std::chrono::milliseconds(1));
  feed(Answer);
}

void RunnerHarness::letHoldsTimeOut() {
  for (int Round = 0; Round < 5; ++Round) {
    advance(std::chrono::milliseconds(100));
    sendLease();
    failHold(CallFault::NoAnswer);
  }
}

void RunnerHarness::failHold(CallFault Fault) {
  HoldAnswered Answer;
  Answer.m_Call = m_LatestHold;
  Answer.m_Fault = Fault;
  feed(Answer);
}

} // namespace cyclamencroft
