// Stand-in for an endpoint that runs tasks under leases: executes the commands
// of its agent, reports running and ended runs, and simulates faults. It checks
// neither capacity nor duplicates of a task, so that such errors show.
#pragma once

#include "core/Runs.h"
#include "core/RuntimeTimer.h"
#include "entry/RandomSource.h"
#include "http/HttpConnectionPool.h"
#include "http/HttpServer.h"
#include "soak/Faults.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cyclamencroft::soak {

struct LeasedEndpointOptions {
  std::string m_Name;
  std::string m_Service;
  std::string m_FailureDomain;
  /// "IP:port" on which it accepts commands.
  std::string m_Listen;
  std::string m_AgentAddress;
  Size m_Capacity;
  Duration m_HeartbeatInterval{std::chrono::milliseconds(500)};
  /// Ratio of its clock to real time.
  double m_ClockRate = 1;
  std::uint64_t m_Seed = 1;
};

/// Callbacks for events at the endpoint, also for those that the agent never
/// learns of.
struct EndpointObserver {
  std::function<void(const std::string &Endpoint)> m_OnStart;
  std::function<void(const std::string &Endpoint)> m_OnExit;
  std::function<void(const std::string &Endpoint, const RunName &Run,
                     const std::string &Specification)>
      m_Started;
  std::function<void(const std::string &Endpoint, const RunName &Run,
                     RunEnd End)>
      m_Ended;
};

/// Not thread-safe: all functions run on the thread of the io_context.
class LeasedEndpoint {
public:
  LeasedEndpoint(boost::asio::io_context &Io, LeasedEndpointOptions Options,
                 EndpointObserver Observer);
  ~LeasedEndpoint();
  LeasedEndpoint(const LeasedEndpoint &) = delete;
  LeasedEndpoint &operator=(const LeasedEndpoint &) = delete;

  /// Starts an incarnation; \p NewId: as another instance on the same host.
  void start(bool NewId = false);
  /// Ends all runs and closes the listener.
  void crash();
  void begin(EndpointFault::Type Type);
  void end(EndpointFault::Type Type);

  /// When the agent acknowledged the draining state, if it has.
  std::optional<TimePoint> drainAcknowledgedAt() const {
    return m_DrainAcknowledgedAt;
  }

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Run {
    std::unique_ptr<RuntimeTimer> m_Timer;
    bool m_Stopping = false;
  };
  struct EndReport {
    std::uint64_t m_Number;
    RunName m_Run;
    RunEnd m_End;
  };
  struct WaitingHold {
    ExchangePtr m_Exchange;
    TimePoint m_ExpiresAt;
  };

  std::int64_t clock() const;
  bool isActive(EndpointFault::Type Type) const {
    return m_Faults.count(Type) != 0;
  }
  void serve(const ExchangePtr &Exchange);
  void execute(const ExchangePtr &Exchange, bool Answered);
  HttpResponse start(const nlohmann::json &Command);
  HttpResponse stop(const nlohmann::json &Command);
  void begin(const RunName &Name, const std::string &Specification);
  void hold(const ExchangePtr &Exchange, const nlohmann::json &Command,
            bool Answered);
  HttpResponse runReport() const;
  HttpResponse refusal(const char *Reason) const;
  void finish(const RunName &Name, RunEnd Type);
  void endLater(const RunName &Name, Run &Ending, Duration Time, RunEnd Type);
  void extendLease(std::int64_t End);
  void checkLease();
  void restartAfterPause(bool NewId);
  void answerHolds();
  /// Id of the present instance.
  std::string id() const;
  HttpCall announcementCall(const std::string &Id,
                            const nlohmann::json &Body) const;
  nlohmann::json heartbeat() const;
  void sendHeartbeat();
  void sendForeignAnnouncements();
  void runLater(Duration Time, std::function<void()> Step);

  boost::asio::io_context &m_Io;
  const LeasedEndpointOptions m_Options;
  const EndpointObserver m_Observer;
  RandomSource m_Random;
  std::unique_ptr<HttpServer> m_Server;
  HttpConnectionPool m_Heartbeats;
  RuntimeTimer m_HeartbeatTimer;
  RuntimeTimer m_LeaseTimer;
  RuntimeTimer m_HoldTimer;
  std::multiset<EndpointFault::Type> m_Faults;

  // State of one incarnation.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_InstanceNumber = 1;
  std::uint64_t m_StartedAtMs = 0;
  TimePoint m_ClockStartedAt{};
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Token = 0;
  /// By the clock of the endpoint.
  std::int64_t m_LeaseEndsAtMs = 0;
  std::map<RunName, Run> m_Runs;
  /// Highest run number of each task that was stopped or has ended.
  std::map<TaskName, std::uint32_t> m_HighestEndedRun;
  std::list<EndReport> m_Ended;
  std::uint64_t m_EndReportCount = 0;
  std::list<WaitingHold> m_Holds;
  std::vector<ExchangePtr> m_Unanswered;
  std::optional<TimePoint> m_DrainAcknowledgedAt;
};

} // namespace cyclamencroft::soak
