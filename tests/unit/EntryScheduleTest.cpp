// Seeded random schedules of lost links, restarts, delays and refusals. Fake
// agents implement the agent's side of the at-most-once protocol.
#include "EntryHarness.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>

using namespace cyclamencroft;
using namespace std::chrono_literals;

namespace {

/// Starts and answers of one submission.
struct Record {
  bool m_AtMostOnce = false;
  std::map<std::uint32_t, int> m_Starts;
  std::vector<Outcome> m_Answers;
};

struct FakeAgent {
  AgentHello m_Hello;
  std::optional<LinkId> m_Link;
  std::deque<LinkMessage> m_Inbox;
  std::deque<LinkMessage> m_Outbox;
  std::map<Sequence, SequenceState> m_Window;
  /// Number of steps of the agent until it connects again.
  std::size_t m_ReconnectDelay = 0;
};

TaskResult resultOf(Sequence Number) {
  TaskResult Result;
  Result.m_Sequence = Number;
  return Result;
}

class Schedule {
public:
  explicit Schedule(std::uint64_t Seed) : m_Random(Seed) {
    for (const char *Id : {"a", "b", "c"})
      m_Agents.emplace_back().m_Hello = EntryHarness::hello(Id, 3);
  }

  void run() {
    for (int Step = 0; Step < 3000; ++Step)
      runRandomStep(m_Agents[below(m_Agents.size())]);
    for (int Step = 0; Step < 400; ++Step)
      for (FakeAgent &Each : m_Agents)
        stepAgent(Each);
    m_Entry.advance(60s);
    collectCommands();
    for (const auto &[Id, Each] : m_Records)
      check(Id, Each);
    BOOST_TEST(m_Entry.status().m_Queued == 0U);
    BOOST_TEST(m_Entry.status().m_Outstanding == 0U);
  }

private:
  std::size_t below(std::size_t Limit) { return m_Random() % Limit; }

  void runRandomStep(FakeAgent &Agent) {
    const std::size_t Choice = below(100);
    if (Choice < 15)
      submit();
    else if (Choice < 17)
      m_Entry.send(CancelRequested{RequestId{1, 1 + below(m_Next)}});
    else if (Choice < 19)
      cutLink(Agent);
    else if (Choice < 20)
      restart(Agent);
    else if (Choice < 30)
      m_Entry.advance(Duration(below(200000)));
    else
      stepAgent(Agent);
    collectCommands();
  }

  void submit() {
    const std::uint64_t Id = m_Next++;
    Record &Added = m_Records[Id];
    const std::size_t Kind = below(3);
    Added.m_AtMostOnce = Kind > 0;
    Kind == 2 ? m_Entry.submitJob(Id, 1 + below(5))
              : m_Entry.submit(Id, Added.m_AtMostOnce);
  }

  /// Drops the messages in flight in both directions. The entry may detect the
  /// loss late.
  void cutLink(FakeAgent &Agent) {
    if (!Agent.m_Link)
      return;
    collectCommands();
    Agent.m_Inbox.clear();
    Agent.m_Outbox.clear();
    if (below(2) == 0)
      m_Entry.close(*Agent.m_Link);
    Agent.m_Link.reset();
    // One reconnect delay in four exceeds the grace period.
    Agent.m_ReconnectDelay = below(4) == 0 ? 200 : below(10);
  }

  void restart(FakeAgent &Agent) {
    cutLink(Agent);
    Agent.m_Window.clear();
    if (below(2) == 0) {
      ++Agent.m_Hello.m_WindowId;
      return;
    }
    const auto Old = static_cast<std::uint64_t>(Agent.m_Hello.m_Incarnation);
    Agent.m_Hello.m_Incarnation = Incarnation{Old + 1};
  }

  void stepAgent(FakeAgent &Agent) {
    if (!Agent.m_Link) {
      if (Agent.m_ReconnectDelay == 0 || --Agent.m_ReconnectDelay == 0)
        Agent.m_Link = m_Entry.connect(Agent.m_Hello);
    } else if (below(2) == 0 && !Agent.m_Outbox.empty()) {
      m_Entry.receive(*Agent.m_Link, Agent.m_Outbox.front());
      Agent.m_Outbox.pop_front();
    } else if (below(2) == 0 && !Agent.m_Inbox.empty()) {
      const LinkMessage Next = Agent.m_Inbox.front();
      Agent.m_Inbox.pop_front();
      consume(Agent, Next);
    } else {
      finishOneTask(Agent);
    }
    collectCommands();
  }

  void consume(FakeAgent &Agent, const LinkMessage &Message) {
    if (const auto *Task = std::get_if<Dispatch>(&Message))
      return admit(Agent, *Task);
    if (const auto *PingMessage = std::get_if<Ping>(&Message))
      Agent.m_Outbox.emplace_back(Pong{PingMessage->m_Number});
    const auto *ReconcileMessage = std::get_if<Reconcile>(&Message);
    if (!ReconcileMessage)
      return;
    ReconcileReply Reply;
    for (const Sequence Each : ReconcileMessage->m_Sequences) {
      const auto Known = Agent.m_Window.emplace(Each, SequenceState::Fenced);
      Reply.m_Reports.push_back({Each, Known.first->second});
    }
    Agent.m_Outbox.emplace_back(Reply);
    for (const SequenceReport &Each : Reply.m_Reports)
      if (Each.m_State == SequenceState::Finished)
        Agent.m_Outbox.emplace_back(resultOf(Each.m_Sequence));
  }

  void admit(FakeAgent &Agent, const Dispatch &Task) {
    const bool Refuses = below(10) == 0;
    const auto State = Refuses ? SequenceState::Fenced : SequenceState::Running;
    const bool New = Agent.m_Window.emplace(Task.m_Sequence, State).second;
    // Fails when the sequence restarts at 1 or goes back within one window,
    // which could start a task twice.
    BOOST_TEST(New);
    if (Refuses)
      Agent.m_Outbox.emplace_back(
          TaskRefused{Task.m_Sequence, RefusalReason::DeadlinePassed, 0});
    else
      ++m_Records[Task.m_Request.m_Low].m_Starts[Task.m_TaskIndex];
  }

  void finishOneTask(FakeAgent &Agent) {
    for (auto &[Number, State] : Agent.m_Window)
      if (State == SequenceState::Running && below(3) == 0) {
        State = SequenceState::Finished;
        TaskResult Result = resultOf(Number);
        Result.m_Outcome =
            below(20) == 0 ? Outcome::Unknown : Outcome::Completed;
        Agent.m_Outbox.emplace_back(Result);
        if (below(10) == 0)
          Agent.m_Outbox.emplace_back(Result);
        return;
      }
  }

  void collectCommands() {
    for (const AnswerRequest &Each : m_Entry.take<AnswerRequest>())
      m_Records[Each.m_Request.m_Low].m_Answers.push_back(Each.m_Outcome);
    for (const AnswerJob &Each : m_Entry.take<AnswerJob>())
      m_Records[Each.m_Request.m_Low].m_Answers.push_back(Each.m_Outcome);
    for (const CloseLink &Each : m_Entry.take<CloseLink>())
      for (FakeAgent &Agent : m_Agents)
        if (Agent.m_Link == Each.m_Link)
          Agent.m_Link.reset();
    for (SendMessage &Each : m_Entry.take<SendMessage>())
      for (FakeAgent &Agent : m_Agents)
        if (Agent.m_Link == Each.m_Link)
          Agent.m_Inbox.push_back(std::move(Each.m_Message));
  }

  static void check(std::uint64_t Id, const Record &Each) {
    BOOST_TEST_CONTEXT("request " << Id) {
      BOOST_TEST(Each.m_Answers.size() == 1U);
      for (const auto &[Task, Starts] : Each.m_Starts) {
        BOOST_TEST((!Each.m_AtMostOnce || Starts == 1));
        BOOST_TEST((Each.m_Answers[0] != Outcome::NotRun));
      }
    }
  }

  std::mt19937_64 m_Random;
  EntryHarness m_Entry;
  std::vector<FakeAgent> m_Agents;
  std::map<std::uint64_t, Record> m_Records;
  std::uint64_t m_Next = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntrySchedule)

// Guards against second starts, "not run" for work that ran, and lost or
// repeated answers in orders of events that no other test covers.
BOOST_AUTO_TEST_CASE(EveryRequestIsAnsweredOnceAndStartsAtMostOnce) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    BOOST_TEST_CONTEXT("seed " << Seed) { Schedule(Seed).run(); }
}

BOOST_AUTO_TEST_SUITE_END()
