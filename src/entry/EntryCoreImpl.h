// State and member functions of the decision core of an entry. Each source file
// next to this header implements one group of functions.
#pragma once

#include "entry/AgentRow.h"
#include "entry/Arrival.h"
#include "entry/ConfigTracker.h"
#include "entry/EntryCore.h"
#include "entry/OutcomeLog.h"
#include "entry/QuotaLedger.h"
#include "entry/RequestKeys.h"
#include "entry/RetryBudget.h"
#include "entry/Router.h"
#include "entry/ServiceQueue.h"
#include "entry/SubmissionTable.h"
#include "entry/TimerQueue.h"

#include <deque>
#include <initializer_list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamencroft {

class EntryCore::Impl {
public:
  explicit Impl(EntryOptions Options);

  void handle(TimePoint Now, const EntryEvent &Event,
              std::vector<EntryCommand> &Commands);
  TimePoint nextWakeup() const;
  EntryStatus status() const;
  std::vector<AgentReport> agents() const;

private:
  /// A heartbeat is sent on a link after this long without other messages. The
  /// link counts as dead after three missing heartbeats.
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(20);
  static constexpr Duration LinkTimeout =
      3 * HeartbeatInterval + std::chrono::seconds(1);

  struct Service {
    explicit Service(SubmissionTable &Table) : m_Queue(Table) {}

    std::string m_Name;
    /// Null when the configuration does not declare the service.
    const ServiceConfig *m_Config = nullptr;
    ServiceQueue m_Queue;
    RetryBudget m_Budget;
    /// Listed in m_ServicesToDispatch: tasks or slots were added since the
    /// last dispatch.
    bool m_DispatchNeeded = false;
  };

  struct PeerRow {
    LinkId m_Link{};
    std::string m_Id;
    ConfigVersion m_ConfigVersion = 0;
    TimePoint m_LastMessageAt{};
    TimePoint m_LastSentAt{};
    TimerId m_IdleTimer = NoTimer;
  };

  struct LinkOwner {
    bool m_IsPeer = false;
    std::uint32_t m_Index = NoIndex;
  };

  struct DormantRow {
    AgentRowIndex m_Row = NoIndex;
    TimePoint m_LostAt{};
  };

  // Event handlers (EntryCore.cpp and the files named below).
  void on(const RequestArrived &Event);
  void on(const JobSubmitted &Event);
  void on(const CallerDisconnected &Event);
  void on(const CancelRequested &Event);
  void on(const AgentConnected &Event);
  void on(const PeerConnected &Event);
  void on(const MessageReceived &Event);
  void on(const LinkClosed &Event);
  void on(const ConfigAdopted &Event);
  void on(const ShutdownRequested &Event);
  void on(const Tick &Event);
  void fire(const Timer &Due);
  void finishEvent();
  bool ready() const;

  // Commands, log lines and spans (EntryCommands.cpp).
  void sendToAgent(AgentRow &Row, LinkMessage Message);
  void sendToPeer(PeerRow &Peer, LinkMessage Message);
  void closeLink(LinkId Link, std::string Reason);
  void log(std::string_view Name, std::initializer_list<LogField> Fields);
  void endSpan(const TraceContext &Trace, std::uint64_t SpanId,
               std::string_view Step, std::string Peer, TimePoint Start,
               bool Failed);
  std::uint64_t newSpanId();
  void flushLog();
  static std::string protocolMismatch(std::uint32_t PeerVersion);

  // Admission (EntryAdmission.cpp).
  RefusalReason admit(const Arrival &New);
  RefusalReason checkServing(const Arrival &New) const;
  RefusalReason checkFit(const Service &To, const Arrival &New) const;
  RefusalReason checkLoad(const Service &To, const Arrival &New) const;
  RefusalReason takeKeyAndQuota(const Arrival &New);
  Duration deadlineOf(const Service &To, const Arrival &New) const;
  SubmissionIndex accept(const Arrival &New);
  void refuse(const Arrival &New, RefusalReason Reason);
  ServiceIndex findOrAddService(const std::string &Name);

  // Dispatch (EntryDispatch.cpp).
  void markForDispatch(ServiceIndex Index);
  void slotsChanged(ServiceIndex Index);
  void dispatchMarkedServices();
  void dispatchService(ServiceIndex Index);
  std::optional<AgentRowIndex> chooseAgent(const Submission &For);
  AttemptIndex startAttempt(SubmissionIndex Owner, std::uint32_t TaskNumber,
                            AgentRowIndex To);
  void addHedgeTimer(SubmissionIndex Owner, Duration After);
  bool isStraggler(const AgentRow &Row) const;
  void startHedge(SubmissionIndex Owner);
  void armHedge(SubmissionIndex Owner);

  // Ends of attempts (EntryAttempts.cpp).
  void resultReceived(AgentRowIndex From, const TaskResult &Result);
  void refusalReceived(AgentRowIndex From, const TaskRefused &Refusal);
  void attemptNotStarted(AttemptIndex Index, RefusalReason Reason);
  void settleAsUnknown(AttemptIndex Index, std::string_view Cause);
  Attempt closeAttempt(AttemptIndex Index, bool Failed);
  void detach(const Attempt &Ended, AttemptIndex Index);
  void abandonRoute(Attempt &Open);
  void taskEnded(const Attempt &Ended, const TaskResult &Result);
  bool mayRetry(const Submission &Pending);
  /// Both return false when the request must be answered now.
  bool retryFailed(const Attempt &Ended);
  bool retryUnknown(const Attempt &Ended);
  void handleUnknownOutcome(const Attempt &Ended, std::string_view Cause);
  void orphanExpired(AttemptIndex Index);

  // Ends of submissions (EntryOutcomes.cpp).
  void answerRequest(SubmissionIndex Index, AnswerRequest Answer);
  void answerNotCompleted(SubmissionIndex Index, Outcome FinalOutcome,
                          RefusalReason Reason, std::string Detail);
  void jobTaskCompleted(SubmissionIndex Index, std::uint32_t TaskNumber,
                        const TaskResult &Result);
  void refusePermanently(SubmissionIndex Index, RefusalReason Reason,
                         std::string Detail);
  void cancel(SubmissionIndex Index, std::string Detail);
  void deadlineReached(SubmissionIndex Index);
  void finish(SubmissionIndex Index, Outcome FinalOutcome);
  void releaseKey(Submission &Done, Outcome FinalOutcome);
  void orphanAttempts(Submission &Done);
  void orphan(AttemptIndex Index, std::uint64_t CancelNumber);
  static bool started(const Submission &Pending);

  // Agents (EntryAgents.cpp).
  void agentHello(LinkId Link, const AgentHello &Hello);
  void rejectHello(LinkId Link, const AgentHello &Hello);
  void rejectGivenUpLink(LinkId Link, const AgentRow &Row,
                         const AgentHello &Hello);
  AgentRowIndex findOrAddRow(const std::string &Id);
  void attachLink(AgentRowIndex Index, LinkId Link);
  void updateIdentity(AgentRowIndex Index, const AgentHello &Hello);
  void updateRoute(AgentRowIndex Index, const AgentHello &Hello);
  void dropRoute(AgentRow &Row);
  void claimAddress(AgentRowIndex Index, const std::string &Old);
  void sendEntryHello(AgentRowIndex Index);
  void startReconcile(AgentRowIndex Index);
  void reconcileReplied(AgentRowIndex Index, const ReconcileReply &Reply);
  void settleOutstandingAsUnknown(AgentRow &Row, std::string_view Cause);
  void refreshAvailability(AgentRow &Row);
  void agentMessage(AgentRowIndex Index, const LinkMessage &Message);
  void agentStatus(AgentRow &Row, const AgentStatus &Status);

  // Reports (EntryReports.cpp).
  AgentReport reportOn(const AgentRow &Row) const;

  // Lost and unresponsive agents (EntryLiveness.cpp).
  void agentLost(AgentRowIndex Index);
  void graceEnded(AgentRowIndex Index);
  void makeDormant(AgentRowIndex Index);
  void recordAgentActivity(AgentRowIndex Index);
  void startLivenessTimer(AgentRowIndex Index);
  void checkLiveness(AgentRowIndex Index);
  void pingOrWait(AgentRowIndex Index);
  void agentIdleCheck(AgentRowIndex Index);
  void dropLink(AgentRowIndex Index, std::string Reason);

  // Peers and configuration (EntryPeers.cpp).
  void peerMessage(std::uint32_t Index, const LinkMessage &Message);
  void peerVersion(PeerRow &Peer, ConfigVersion Version);
  void peerLost(std::uint32_t Index);
  void peerIdleCheck(std::uint32_t Index);
  void updateEntryCount();
  void sendQuotaReports();
  void versionAnnounced(ConfigVersion Version, const std::string &From);
  void armConfigTimer();
  void configOverdue();
  void applyConfig();
  /// In ascending order, so that a session replays deterministically.
  std::vector<AgentRowIndex> sortedRows() const;
  void sendView(AgentRow &Row);
  void sendTransfer(PeerRow &Peer);

  EntryOptions m_Options;
  // Time and output of the event being handled.
  TimePoint m_Now{};
  std::vector<EntryCommand> *m_Commands = nullptr;

  ConfigStatePtr m_Config;
  // Points into m_Config. Invariant: null if and only if m_Config is null.
  const Preset *m_Preset = nullptr;
  ConfigTracker m_Versions;
  TimerId m_ConfigTimer = NoTimer;

  SubmissionTable m_Submissions;
  Slab<Attempt> m_Attempts;
  // A deque keeps references to elements valid; services are never removed.
  std::deque<Service> m_Services;
  std::unordered_map<std::string, ServiceIndex> m_ServiceByName;
  // Services to dispatch at the end of the current event, without duplicates.
  std::vector<ServiceIndex> m_ServicesToDispatch;

  Slab<AgentRow> m_Rows;
  std::unordered_map<std::string, AgentRowIndex> m_RowById;
  std::unordered_map<std::string, AgentRowIndex> m_RowByAddress;
  // Indexed by the router's AgentIndex.
  std::vector<AgentRowIndex> m_RowByRoute;
  // Rows without a link that keep their sequence numbers, oldest first. May
  // contain rows that have reconnected since.
  std::deque<DormantRow> m_Dormant;

  Slab<PeerRow> m_Peers;
  std::vector<std::uint32_t> m_PeerList;
  boost::unordered_flat_map<LinkId, LinkOwner> m_Links;
  std::uint32_t m_Entries = 1;

  Router m_Router;
  QuotaLedger m_Quotas;
  RequestKeys m_Keys;
  TimerQueue m_Timers;
  OutcomeLog m_OutcomeLog;
  TimerId m_LogTimer = NoTimer;
  TimerId m_QuotaTimer = NoTimer;
  TimePoint m_NextRouterCheck{};

  bool m_Draining = false;
  bool m_Drained = false;
  std::uint64_t m_Cancels = 0;
  std::uint64_t m_PingNumber = 0;
  std::uint64_t m_SpanState = 0;
  EntryStatus m_Counters;
};

} // namespace cyclamencroft
