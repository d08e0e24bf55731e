// Implementation class of AgentCore. Its functions are spread over
// AgentCore.cpp (events and timers), AgentLinks.cpp (what each entry is told)
// and AgentTasks.cpp (dispatches, runs and results).
#pragma once

#include "agent/AgentCore.h"
#include "agent/EndpointLease.h"
#include "agent/EntrySession.h"
#include "agent/StartGate.h"
#include "agent/WaitingTasks.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamencroft {

/// Idle time after which a heartbeat is sent on a link.
constexpr Duration HeartbeatInterval = std::chrono::seconds(20);
/// A link is closed when its entry has been silent for two heartbeats and a
/// half: the entry is gone or unreachable although the connection is open.
constexpr Duration SilenceLimit = std::chrono::seconds(50);
/// Time for an entry to answer a hello or a service change.
constexpr Duration AnswerLimit = std::chrono::seconds(5);
/// An entry treats a lost link's dispatches as unknown after this time, so a
/// shutdown need not wait longer for it to come back.
constexpr Duration EntryGracePeriod = std::chrono::seconds(2);

class AgentCore::Impl {
public:
  explicit Impl(AgentOptions Options);

  void handle(TimePoint Now, const AgentEvent &Event,
              std::vector<AgentCommand> &Commands);
  TimePoint nextWakeup() const;
  AgentStatusReport status() const;

private:
  struct RunningTask {
    DispatchKey m_Key;
    RequestId m_Request;
    TraceContext m_Trace;
    std::uint64_t m_SpanId = 0;
    TimePoint m_Start{};
    TimePoint m_Deadline{};
    std::string m_EndpointAddress;
    bool m_Aborted = false;
  };

  // Events and timers.
  void onEvent(const EndpointAnnounced &Event);
  void onEvent(const EndpointLeaving &Event);
  void onEvent(const EntryLinkOpened &Event);
  void onEvent(const MessageReceived &Event);
  void onEvent(const LinkClosed &Event);
  void onEvent(const RunEnded &Event);
  void onEvent(const ShutdownRequested &Event);
  void onEvent(const Tick &Event);
  void expire();
  void settle();
  void finishShutdown();
  bool awaitsReturn(const EntrySession &Session) const;
  void log(std::string_view Event, std::vector<LogField> Fields);

  // Links.
  void onMessage(EntrySession &Session, const EntryHello &Hello);
  void onMessage(EntrySession &Session, const ConfigView &View);
  void onMessage(EntrySession &Session, const Heartbeat &Message);
  void onMessage(EntrySession &Session, const Ping &Message);
  void onMessage(EntrySession &Session, const Pong &Message);
  void onMessage(EntrySession &Session, const Goodbye &Message);
  /// Any message that only agents or peer entries may send.
  template <class T> void onMessage(EntrySession &Session, const T &) {
    closeLink(Session, "message of a type that entries don't send to agents");
  }
  EntrySession *findSession(LinkId Link);
  void resetWindow(EntrySession &Session, Incarnation Entry);
  void loseLink(EntrySession &Session);
  void closeLink(EntrySession &Session, std::string Reason);
  void checkLink(EntrySession &Session);
  TimePoint silenceEnd(const EntrySession &Session) const;
  AgentHello makeHello(const EntrySession &Session) const;
  void sayHello(EntrySession &Session, AgentHello Hello);
  void tellChanges(EntrySession &Session);
  void send(EntrySession &Session, LinkMessage Message);

  // Tasks.
  void onMessage(EntrySession &Session, const Dispatch &Message);
  void onMessage(EntrySession &Session, const CancelTasks &Message);
  void onMessage(EntrySession &Session, const Reconcile &Message);
  void accept(EntrySession &Session, const Dispatch &Message, Duration Delay);
  void answerRepeated(EntrySession &Session, const Dispatch &Message);
  /// Sends a retained result. \pre it is retained.
  void sendAgain(EntrySession &Session, Sequence Number);
  void raiseFloor(EntrySession &Session, Sequence Floor);
  RefusalReason refusalFor(const EntrySession &Session,
                           const WaitingTask &Task) const;
  void refuse(const DispatchKey &Key, const RequestId &Request,
              RefusalReason Reason);
  void giveBack(const WaitingTasks::Condition &Which, RefusalReason Reason);
  void startWaiting();
  void start(WaitingTask Task);
  void finish(const RunningTask &Run, const RunEnded &End);
  RefusalReason reasonNotReached(const RunningTask &Run) const;
  SequenceState reconcile(EntrySession &Session, Sequence Number);

  /// None while new work is taken; else why it is refused.
  RefusalReason closedReason() const;
  bool isDrainedDomain() const;
  /// Running and waiting tasks at the present endpoint.
  std::uint32_t load() const;
  std::uint32_t indexOf(const EntrySession &Session) const;
  std::uint64_t drawSpanId();

  AgentOptions m_Options;
  /// Time of the event being handled.
  TimePoint m_Now{};
  /// Where the present call of handle() puts its commands.
  std::vector<AgentCommand> *m_Commands = nullptr;

  EndpointLease m_Lease;
  StartGate m_Gate;
  /// One session an entry address, by index.
  std::vector<EntrySession> m_Sessions;
  WaitingTasks m_Waiting;
  std::map<RunId, RunningTask> m_Running;
  ConfigView m_View;

  bool m_ShuttingDown = false;
  bool m_Drained = false;
  /// The endpoint changed its service in the present call; tasks that wait
  /// were meant for the earlier one.
  bool m_ServiceChanged = false;
  AgentState m_LoggedState = AgentState::Leaving;
  std::uint64_t m_NextWindowId = 1;
  std::uint64_t m_NextRunId = 1;
  std::uint64_t m_NextPing = 1;
  std::uint64_t m_RandomState = 0;
  AgentStatusReport m_Counters;
};

} // namespace cyclamencroft
