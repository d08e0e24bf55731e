// Implementation class of AgentCore. Its functions are spread over
// AgentCore.cpp (events and timers), AgentLinks.cpp (links and the state that
// is reported to each entry) and AgentTasks.cpp (dispatches, runs and results).
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

/// A heartbeat is sent on a link after this time without another message.
constexpr Duration HeartbeatInterval = std::chrono::seconds(20);
/// A link is closed after this time without a message from its entry, which is
/// two and a half heartbeat intervals: the entry is gone or unreachable
/// although the connection is open.
constexpr Duration SilenceLimit = std::chrono::seconds(50);
/// Timeout for an entry to answer a hello or a changed endpoint.
constexpr Duration AnswerLimit = std::chrono::seconds(5);
/// An entry treats the dispatches of a lost link as unknown after this time, so
/// a shutdown need not wait longer for it to reconnect.
constexpr Duration EntryGracePeriod = std::chrono::seconds(2);

/// Whether every task that was dispatched for the endpoint \p Before may run at
/// \p After. Both are announcements or both are hellos.
template <class T> bool acceptsTasksOf(const T &After, const T &Before) {
  const bool NotAnnounced = Before.m_Service.empty();
  return NotAnnounced || (After.m_Service == Before.m_Service &&
                          After.m_Size.holds(Before.m_Size));
}

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
  void onEvent(const EndpointDraining &Event);
  void onEvent(const EntryLinkOpened &Event);
  void onEvent(const MessageReceived &Event);
  void onEvent(const LinkClosed &Event);
  void onEvent(const RunEnded &Event);
  void onEvent(const ShutdownRequested &Event);
  void onEvent(const Tick &Event);
  void expire();
  void applyChanges();
  void finishShutdown();
  bool awaitsReconcile(const EntrySession &Session) const;
  void log(std::string_view Event, std::vector<LogField> Fields);

  // Links.
  void onMessage(EntrySession &Session, const EntryHello &Hello);
  void onMessage(EntrySession &Session, const ConfigView &View);
  void onMessage(EntrySession &Session, const Heartbeat &Message);
  void onMessage(EntrySession &Session, const Ping &Message);
  void onMessage(EntrySession &Session, const Pong &Message);
  void onMessage(EntrySession &Session, const Goodbye &Message);
  /// Closes the link on a message that only agents or peer entries may send.
  template <class T> void onMessage(EntrySession &Session, const T &) {
    closeLink(Session, "message of a type that entries don't send to agents");
  }
  EntrySession *findSession(LinkId Link);
  void resetWindow(EntrySession &Session, Incarnation Entry);
  void handleLinkLoss(EntrySession &Session);
  void closeLink(EntrySession &Session, std::string Reason);
  void checkLink(EntrySession &Session);
  TimePoint silenceDeadline(const EntrySession &Session) const;
  AgentHello makeHello(const EntrySession &Session) const;
  void sendHello(EntrySession &Session, AgentHello Hello);
  void reportChanges(EntrySession &Session);
  void send(EntrySession &Session, LinkMessage Message);

  // Tasks.
  void onMessage(EntrySession &Session, const Dispatch &Message);
  void onMessage(EntrySession &Session, const CancelTasks &Message);
  void onMessage(EntrySession &Session, const Reconcile &Message);
  void accept(EntrySession &Session, const Dispatch &Message, Duration Delay);
  void answerRepeated(EntrySession &Session, const Dispatch &Message);
  /// \pre The result of \p Number is retained.
  void resendResult(EntrySession &Session, Sequence Number);
  void raiseFloor(EntrySession &Session, Sequence Floor);
  RefusalReason refusalFor(const EntrySession &Session,
                           const WaitingTask &Task) const;
  void refuse(const DispatchKey &Key, const RequestId &Request,
              RefusalReason Reason);
  void refuseWaiting(const WaitingTasks::Condition &Predicate,
                     RefusalReason Reason);
  void startWaiting();
  void start(WaitingTask Task);
  void finish(const RunningTask &Run, const RunEnded &End);
  RefusalReason unreachedReason(const RunningTask &Run) const;
  SequenceState reconcile(EntrySession &Session, Sequence Number);

  /// Why new tasks are refused; None while they are accepted.
  RefusalReason closedReason() const;
  bool isDrainedDomain() const;
  /// Tasks running at the current endpoint, and waiting tasks.
  std::uint32_t load() const;
  std::uint32_t indexOf(const EntrySession &Session) const;
  std::uint64_t drawSpanId();

  AgentOptions m_Options;
  /// Number of the next link that is opened to any entry.
  LinkNumber m_NextLink;
  /// Time of the event being handled.
  TimePoint m_Now{};
  /// Output of the current call of handle(); null outside of a call.
  std::vector<AgentCommand> *m_Commands = nullptr;

  EndpointLease m_Lease;
  StartGate m_Gate;
  /// One session per entry address, by the address's index in the settings.
  std::vector<EntrySession> m_Sessions;
  WaitingTasks m_Waiting;
  std::map<RunId, RunningTask> m_Running;
  ConfigView m_View;

  bool m_ShuttingDown = false;
  bool m_Drained = false;
  /// The endpoint changed in the current call so that waiting tasks, which were
  /// dispatched before, may not run at it.
  bool m_EndpointChanged = false;
  AgentState m_LoggedState = AgentState::Draining;
  std::uint64_t m_NextWindowId = 1;
  std::uint64_t m_NextRunId = 1;
  std::uint64_t m_NextPing = 1;
  std::uint64_t m_RandomState = 0;
  AgentStatusReport m_Counters;
};

} // namespace cyclamencroft
