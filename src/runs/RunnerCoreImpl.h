// State and member functions of the decision core of a run agent.
// RunnerCore.cpp implements events and timers, RunnerLinks.cpp the messages and
// leases of entries, RunnerRuns.cpp the states of a run,
// RunnerAnnouncements.cpp the announcements of endpoints, RunnerEndpoint.cpp
// the state of the endpoint.
#pragma once

#include "runs/EndpointCandidate.h"
#include "runs/EndpointLeaseClock.h"
#include "runs/EndpointMeter.h"
#include "runs/EntryLink.h"
#include "runs/RunnerCore.h"
#include "runs/WaitingRuns.h"

#include <initializer_list>
#include <map>
#include <optional>
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
    Starting, ///< The start call is in flight.
    Running,  ///< The endpoint has accepted the start.
    Stopping, ///< A stop call is in flight or will be repeated.
    Stopped,  ///< The stop call was answered; the end is not listed yet.
  };

  struct Run {
    Phase m_Phase = Phase::Starting;
    /// Null for runs that were started by an earlier agent process or whose
    /// entry has restarted.
    EntryLink *m_Owner = nullptr;
    Size m_Need;
    Duration m_Estimate{};
    Payload m_Specification;
    /// Start calls that were not answered; each may still take effect.
    int m_UnansweredStarts = 0;
    /// The endpoint has confirmed that the run was started.
    bool m_StartConfirmed = false;
    TimePoint m_StartedAt{};
    /// Only lists that were requested after this time show whether the run is
    /// active; max() until the start call or a stop call is answered.
    TimePoint m_ListsValidAfter{};
    /// The stop call is repeated at this time; max() for none.
    TimePoint m_RetryStopAt = TimePoint::max();
    /// Delay before the next repetition of the stop call.
    Duration m_StopBackoff{};
  };
  using Runs = std::map<RunName, Run>;

  // Events and timers.
  void onEvent(const EndpointHeartbeat &Event);
  void onEvent(const EndpointGoodbye &Event);
  void onEvent(const StartAnswered &Event);
  void onEvent(const StopAnswered &Event);
  void onEvent(const HoldAnswered &Event);
  void onEvent(const ProbeAnswered &Event);
  void onEvent(const RunnerLinkOpened &Event);
  void onEvent(const MessageReceived &Event);
  void onEvent(const LinkClosed &Event);
  void onEvent(const ShutdownRequested &Event);
  void onEvent(const Tick &Event);
  void runTimers();
  void runPendingActions();
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
  void onMessage(EntryLink &Link, const EvacuationReport &Message);
  void onMessage(EntryLink &Link, const Pong &Message);
  void onMessage(EntryLink &Link, const Goodbye &Message);
  /// Any message that entries don't send to run agents.
  template <class T> void onMessage(EntryLink &Link, const T &) {
    dropLink(Link, "message of a type that entries don't send to run agents");
  }
  EntryLink *findLink(LinkId Link);
  /// Called when the entry has answered the hello or a ping.
  void measureRoundTrip(EntryLink &Link);
  /// Returns the transit time of the message in excess of the usual one;
  /// Duration::max() when the usual one is not known.
  Duration extendLease(EntryLink &Link, TimePoint SentAt);
  void sendHello(EntryLink &Link);
  void dropLink(EntryLink &Link, std::string Reason);
  void send(EntryLink &Link, LinkMessage Message);
  void reportRunEnd(EntryLink &Owner, TaskEnded End);
  void reportMissedEnds(EntryLink &Link);
  void reportLoad(EntryLink &Link);
  /// Schedules load reports after the load has changed. \p StartedBy has sent a
  /// start and suspects the agent unless a report confirms it soon.
  void markReportsDue(const EntryLink *StartedBy);
  void reportEndpoint();
  /// Tells the entry which domains are evacuated if it knows less.
  void reportEvacuations(EntryLink &Link);
  bool holdsRunsOf(const EntryLink &Link) const;

  // Runs.
  StartRefusal refusalFor(const StartTask &Message, Duration Delay) const;
  void refuse(EntryLink &Link, const RunName &Run, StartRefusal Reason);
  void enqueue(EntryLink &Link, const StartTask &Message);
  void startWaiting();
  void start(WaitingRun Next);
  void refuseWaiting(const std::function<bool(const WaitingRun &)> &Selected,
                     StartRefusal Reason);
  Size freeCapacity() const { return m_View.m_Capacity - m_Reserved; }
  void callStart(const RunName &Name, Run &Started);
  void stop(const RunName &Name, Run &Running, std::string_view Cause);
  void callStop(const RunName &Name, Run &Stopping);
  void stopRunsOf(const EntryLink &Owner, std::string_view Cause);
  void end(Runs::iterator Selected, RunEnd Result, StartRefusal Reason);
  void endRunsAsLost(std::string_view Cause);
  void endAsNotStarted(const RunName &Name, StartRefusal Reason);

  // Announcements.
  void applyHeartbeat(const EndpointHeartbeat &Event, TimePoint ReceivedAt);
  /// Entries have to place runs anew, on the endpoint as it is now.
  void beginGeneration();
  void considerCandidate(const EndpointHeartbeat &Event);
  bool isNewer(const EndpointHeartbeat &Event) const;
  void probeCandidate();
  void dropCandidate(std::string_view Reason);
  /// Whether the earlier endpoint can no longer run anything.
  bool candidateReplacesEndpoint() const;
  void adoptCandidate();
  TimePoint candidateWakeup() const;
  void expireCandidate();
  void resetEndpoint(const EndpointIncarnation &Next);
  void logIgnored(const EndpointHeartbeat &Event, std::string_view Reason);

  // Endpoint.
  void markEndpointLost(std::string_view Cause);
  void markEndpointUnresponsive();
  void raiseToken();
  bool needsHold() const;
  void callHold();
  void applyRunLists(const HoldAnswered &Event, TimePoint AskedAt);
  void handleListedRun(const RunName &Name);
  EndpointState offeredState() const;
  /// The view that entries get.
  EndpointView offeredView() const;
  EndpointCall callTarget() const;
  RunProgress progressOf(const Run &Ongoing) const;
  EndpointLoad load(const EntryLink &Receiver) const;

  RunnerOptions m_Options;
  /// Number of the next link that is opened to any entry.
  LinkNumber m_NextLink;
  TimePoint m_Now{};
  std::vector<RunnerCommand> *m_Commands = nullptr;

  // Endpoint. m_EndpointIncarnation has no id before the first endpoint and
  // while the endpoint is lost. Invariant: it has answered as this process, so
  // an announcement alone ends no runs.
  EndpointIncarnation m_EndpointIncarnation;
  std::optional<EndpointCandidate> m_Candidate;
  std::uint64_t m_ProbeNumber = 0;
  std::uint64_t m_HeartbeatSequence = 0;
  TimePoint m_HeartbeatAt{};
  std::string m_Address;
  /// As the endpoint announced it; entries get offeredView().
  EndpointView m_View;
  /// Invariant: a run is started only if its entry has placed it on the
  /// endpoint of this generation.
  EndpointGeneration m_Generation{};
  EndpointLeaseClock m_Clock;
  EndpointMeter m_Meter;
  /// The endpoint has announced its shutdown.
  bool m_EndpointDraining = false;
  /// Calls are not answered; runs may continue until their leases expire.
  bool m_Unresponsive = false;
  /// The lists of this incarnation were read at least once, and runs that were
  /// not started by this agent have ended.
  bool m_EarlierRunsEnded = false;

  // Hold calls; at most one is in flight.
  bool m_HoldPending = false;
  std::uint64_t m_HoldNumber = 0;
  TimePoint m_HoldSentAt{};
  TimePoint m_HoldAnsweredAt{};
  TimePoint m_NextHoldAt{};
  std::uint64_t m_AcknowledgedEnds = 0;
  /// Highest number of a listed end; acknowledged by the next hold call.
  std::uint64_t m_ListedEnds = 0;

  /// Invariant: a run ends as lost or not started only when no process that may
  /// have accepted it can still run it. Calls reach m_EndpointIncarnation only,
  /// so another process at its address shows that all its runs have ended.
  Runs m_Runs;
  WaitingRuns m_Waiting;
  /// Invariant: sum of the needs of m_Runs.
  Size m_Reserved;
  /// By address of the entry. Runs point to their owner, so elements must keep
  /// their addresses.
  std::map<std::string, EntryLink> m_Links;

  /// Copy of the newest configuration received from an entry, for entries that
  /// can't read the store; version 0 for none.
  ConfigTransfer m_Config;

  /// The newest view received from an entry. Invariant: no run is accepted
  /// while it contains the endpoint's failure domain.
  EvacuationView m_Evacuations;

  EndpointState m_ReportedState = EndpointState::Absent;
  bool m_ShuttingDown = false;
  bool m_Drained = false;
  RunnerStatus m_Counters;
};

} // namespace cyclamencroft
