// Stand-in for an endpoint that runs tasks under leases: takes the orders of
// its agent, reports runs and ends, and can be told to misbehave. It guards
// nothing: it starts whatever it is told to start.
#pragma once

#include "core/Runs.h"
#include "core/RuntimeTimer.h"
#include "entry/RandomSource.h"
#include "http/HttpChannels.h"
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
  /// "IP:port" on which it takes orders.
  std::string m_Listen;
  std::string m_AgentAddress;
  Size m_Room;
  Duration m_HeartbeatInterval{std::chrono::milliseconds(500)};
  /// Speed of its clock against real time.
  double m_ClockRate = 1;
  std::uint64_t m_Seed = 1;
};

/// What happens at the endpoint, whether or not anybody hears of it.
struct EndpointObserver {
  std::function<void(const std::string &Endpoint)> m_Up;
  std::function<void(const std::string &Endpoint)> m_Died;
  std::function<void(const std::string &Endpoint, const RunName &Run,
                     const std::string &Specification)>
      m_Started;
  std::function<void(const std::string &Endpoint, const RunName &Run,
                     RunEnd End)>
      m_Ended;
};

/// Every function runs on the one thread of the io_context.
class LeasedEndpoint {
public:
  LeasedEndpoint(boost::asio::io_context &Io, LeasedEndpointOptions Options,
                 EndpointObserver Observer);
  ~LeasedEndpoint();
  LeasedEndpoint(const LeasedEndpoint &) = delete;
  LeasedEndpoint &operator=(const LeasedEndpoint &) = delete;

  /// Begins a life; \p NewId: as another endpoint on the same host.
  void start(bool NewId = false);
  /// Everything that runs ends, and nobody listens.
  void crash();
  void begin(EndpointFault::How How);
  void end(EndpointFault::How How);

  /// When the agent acknowledged that it drains; nothing before.
  std::optional<TimePoint> drainAcknowledgedAt() const { return m_DrainAckAt; }

private:
  using ExchangePtr = std::shared_ptr<HttpExchange>;
  struct Run {
    std::unique_ptr<RuntimeTimer> m_Timer;
    bool m_Stopping = false;
  };
  struct Ended {
    std::uint64_t m_Number;
    RunName m_Run;
    RunEnd m_How;
  };
  struct WaitingHold {
    ExchangePtr m_Exchange;
    TimePoint m_Until;
  };

  std::int64_t clock() const;
  bool has(EndpointFault::How How) const { return m_Faults.count(How) != 0; }
  void serve(const ExchangePtr &Exchange);
  void carryOut(const ExchangePtr &Exchange, bool Answered);
  HttpResponse start(const nlohmann::json &Order);
  HttpResponse stop(const nlohmann::json &Order);
  void begin(const RunName &Name, const std::string &Specification);
  void hold(const ExchangePtr &Exchange, const nlohmann::json &Order,
            bool Answered);
  HttpResponse lists() const;
  HttpResponse refusal(const char *Reason) const;
  void finish(const RunName &Name, RunEnd How);
  void endLater(const RunName &Name, Run &Ending, Duration Time, RunEnd How);
  void extendLease(std::int64_t End);
  void checkLease();
  void startAgain(bool NewId);
  void wakeHolds();
  void sendHeartbeat();
  void later(Duration Time, std::function<void()> Step);

  boost::asio::io_context &m_Io;
  const LeasedEndpointOptions m_Options;
  const EndpointObserver m_Observer;
  RandomSource m_Random;
  std::unique_ptr<HttpServer> m_Server;
  HttpChannels m_Heartbeats;
  RuntimeTimer m_HeartbeatTimer;
  RuntimeTimer m_LeaseTimer;
  RuntimeTimer m_HoldTimer;
  std::multiset<EndpointFault::How> m_Faults;

  // One life.
  std::uint64_t m_Lives = 0;
  std::uint64_t m_Ids = 1;
  std::uint64_t m_StartedAtMs = 0;
  TimePoint m_BornAt{};
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Token = 0;
  /// By its own clock.
  std::int64_t m_LeaseEnd = 0;
  std::map<RunName, Run> m_Runs;
  /// Highest run that was stopped or has ended.
  std::map<TaskName, std::uint32_t> m_Fenced;
  std::list<Ended> m_Ended;
  std::uint64_t m_EndsListed = 0;
  std::list<WaitingHold> m_Holds;
  std::vector<ExchangePtr> m_Unanswered;
  std::optional<TimePoint> m_DrainAckAt;
};

} // namespace cyclamencroft::soak
