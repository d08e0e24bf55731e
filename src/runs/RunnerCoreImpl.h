// State and steps of the decision core of a run agent. RunnerCore.cpp holds
// events and timers, RunnerLinks.cpp what entries are told, RunnerRuns.cpp the
// life of a run, RunnerEndpoint.cpp what is known of the endpoint.
#pragma once

#include "runs/EndpointLeaseClock.h"
#include "runs/EndpointMeter.h"
#include "runs/EntryLink.h"
#include "runs/RunnerCore.h"
#include "runs/WaitingRuns.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

class RunnerCore::Impl {
public:
  explicit Impl(RunnerOptions Options);

  void handle(TimePoint Now, const RunnerEvent &Event,
              std::vector<RunnerCommand> &Commands);
  TimePoint nextWakeup() const;
  RunnerStatus status() const;

private:
  enum class Phase : std::uint8_t {
    Starting, ///< The order to start is under way.
    Running,  ///< The endpoint has accepted it.
    Stopping, ///< An order to stop is under way or must be repeated.
    Stopped,  ///< The order to stop was answered; the end is not listed yet.
  };

  struct Run {
    Phase m_Phase = Phase::Starting;
    /// Null for runs that an earlier agent process started.
    EntryLink *m_Owner = nullptr;
    Size m_Need;
    Duration m_Estimate{};
    Payload m_Specification;
    /// The endpoint has said that it runs.
    bool m_Seen = false;
    TimePoint m_StartedAt{};
    /// Lists that were asked for after this time tell whether it is running.
    TimePoint m_ListedAfter{};
    /// Order to stop that is repeated at this time; max() when none waits.
    TimePoint m_StopAgainAt = TimePoint::max();
    /// Before the next repetition of that order.
    Duration m_StopPause{};
  };
  using Runs = std::map<RunName, Run>;

  // Events and timers.
  void onEvent(const EndpointHeartbeat &Event);
  void onEvent(const EndpointGone &Event);
  void onEvent(const StartAnswered &Event);
  void onEvent(const StopAnswered &Event);
  void onEvent(const HoldAnswered &Event);
  void onEvent(const RunnerLinkOpened &Event);
  void onEvent(const MessageReceived &Event);
  void onEvent(const LinkClosed &Event);
  void onEvent(const ShutdownRequested &Event);
  void onEvent(const Tick &Event);
  void expire();
  void settle();
  void finishShutdown();
  void log(std::string_view Event, std::initializer_list<LogField> Fields);

  // Entries.
  void onMessage(EntryLink &Link, const EntryHello &Hello);
  void onMessage(EntryLink &Link, const StartTask &Message);
  void onMessage(EntryLink &Link, const StopJob &Message);
  void onMessage(EntryLink &Link, const StopRun &Message);
  void onMessage(EntryLink &Link, const EntryLease &Message);
  void onMessage(EntryLink &Link, const ConfigTransfer &Message);
  void onMessage(EntryLink &Link, const ConfigRequest &Message);
  void onMessage(EntryLink &Link, const Goodbye &Message);
  /// Any message that entries don't send to run agents.
  template <class T> void onMessage(EntryLink &Link, const T &) {
    dropLink(Link, "message of a type that entries don't send to run agents");
  }
  EntryLink *findLink(LinkId Link);
  /// Returns how long the message was under way beyond the usual.
  Duration extendLease(EntryLink &Link, TimePoint SentAt);
  void sayHello(EntryLink &Link);
  void dropLink(EntryLink &Link, std::string Reason);
  void send(EntryLink &Link, LinkMessage Message);
  void tellEnd(EntryLink &Owner, TaskEnded End);
  void reportLoad(EntryLink &Link);
  void oweReports();
  void tellEndpoint();
  bool holdsRunsOf(const EntryLink &Link) const;

  // Runs.
  StartRefusal refusalFor(const StartTask &Message, Duration Delay) const;
  void refuse(EntryLink &Link, const RunName &Run, StartRefusal Reason);
  void wait(EntryLink &Link, const StartTask &Message);
  void startWaiting();
  void start(WaitingRun Next);
  void giveBack(const std::function<bool(const WaitingRun &)> &Which,
                StartRefusal Reason);
  Size freeRoom() const { return m_View.m_Room - m_Reserved; }
  void callStart(const RunName &Name, Run &Started);
  void stop(const RunName &Name, Run &Running, std::string_view Why);
  void callStop(const RunName &Name, Run &Stopping);
  void stopRunsOf(const EntryLink &Owner, std::string_view Why);
  void end(Runs::iterator Which, RunEnd How, StartRefusal Reason);
  void loseRuns(std::string_view Why);
  void notStarted(const RunName &Name, StartRefusal Reason);

  // Endpoint.
  bool isNewer(const EndpointHeartbeat &Event) const;
  void adoptLife(const EndpointHeartbeat &Event);
  void endpointUnreachable(std::string_view Why);
  void endpointSilent();
  void raiseToken();
  bool needsHold() const;
  void callHold();
  void takeLists(const HoldAnswered &Event, TimePoint AskedAt);
  void takeRunning(const RunName &Name);
  EndpointState offeredState() const;
  EndpointCall callTarget() const;
  RunProgress progressOf(const Run &Going) const;
  EndpointLoad load(const EntryLink &Receiver) const;

  RunnerOptions m_Options;
  TimePoint m_Now{};
  std::vector<RunnerCommand> *m_Commands = nullptr;

  // Endpoint. m_Life is empty until the first heartbeat.
  EndpointLife m_Life;
  std::uint64_t m_HeartbeatSequence = 0;
  TimePoint m_HeartbeatAt{};
  std::string m_Address;
  EndpointView m_View;
  EndpointLeaseClock m_Clock;
  EndpointMeter m_Meter;
  /// Heartbeat of m_Life says that it leaves.
  bool m_EndpointLeaves = false;
  /// Calls get no answer; runs may be going on until the leases lapse.
  bool m_Silent = false;
  /// The lists were read once in this life, and foreign runs have ended.
  bool m_Cleared = false;

  // Hold calls, one at a time.
  bool m_HoldPending = false;
  std::uint64_t m_HoldNumber = 0;
  TimePoint m_HoldSentAt{};
  TimePoint m_HoldAnsweredAt{};
  TimePoint m_NextHoldAt{};
  std::uint64_t m_AcknowledgedEnds = 0;
  /// Ends that were listed and are acknowledged by the next call.
  std::uint64_t m_ListedEnds = 0;

  Runs m_Runs;
  WaitingRuns m_Waiting;
  /// Invariant: sum of the needs of m_Runs.
  Size m_Reserved;
  /// Stable addresses: runs refer to their owner.
  std::map<std::string, EntryLink> m_Links;

  /// Copy of the newest configuration that an entry has sent, for entries that
  /// can't read the store; version 0 for none.
  ConfigTransfer m_Config;

  EndpointState m_ToldState = EndpointState::Absent;
  bool m_ShuttingDown = false;
  bool m_Drained = false;
  RunnerStatus m_Counters;
};

} // namespace cyclamencroft
