// Chooses the agent for a task by each agent's estimated load and health. Owns
// the endpoint table.
#pragma once

#include "config/Configuration.h"
#include "core/Messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace cyclamencroft {

/// Index of an agent in the router; reused after removal.
using AgentIndex = std::uint32_t;

/// Requirements of a task for the choice of its agent.
struct RouteQuery {
  std::string_view m_Service;
  Size m_Need;
  /// Agent of an earlier attempt; avoided while another agent has capacity.
  std::optional<AgentIndex> m_Avoid;
};

/// Reason why no agent was chosen.
enum class NoRoute : std::uint8_t {
  AllBusy,    ///< Endpoints exist, but none is estimated to have capacity.
  NoEndpoint, ///< No endpoint of the service accepts tasks now.
  NoneFits,   ///< Endpoints exist, but none is large enough.
};

class Router {
public:
  explicit Router(std::uint64_t Seed);
  ~Router();
  Router(const Router &) = delete;
  Router &operator=(const Router &) = delete;

  /// Adds an agent from its hello.
  AgentIndex addAgent(const AgentHello &Hello, TimePoint Now);
  void removeAgent(AgentIndex Agent);

  /// Includes or excludes an agent from choices. An excluded agent keeps its
  /// row and its history.
  void setAvailable(AgentIndex Agent, bool Available);
  void updateStatus(AgentIndex Agent, const AgentStatus &Status, TimePoint Now);

  /// Sets the number of live entries that share each agent's slots; 0 counts as
  /// 1.
  void setEntries(std::uint32_t Entries);

  /// Sets the number of tasks that may wait at an agent beyond its slots
  /// (Preset::m_AgentQueue).
  void setAgentQueue(std::uint32_t Tasks);

  /// Chooses an agent; sets \p NoRouteReason only when it returns none.
  std::optional<AgentIndex> choose(const RouteQuery &Query,
                                   const RoutingPolicy &Policy, TimePoint Now,
                                   NoRoute &NoRouteReason);

  /// Tracks the entry's own tasks at an agent. Each dispatched() is followed by
  /// exactly one finished(), refused() or abandoned().
  void dispatched(AgentIndex Agent, TimePoint Now);
  void finished(AgentIndex Agent, const TaskResult &Result, TimePoint Now);
  void refused(AgentIndex Agent, const TaskRefused &Refusal, TimePoint Now);
  void abandoned(AgentIndex Agent, TimePoint Now);

  /// When an agent that cannot be chosen now may become eligible without a
  /// message (end of an ejection, expiry of a load report); TimePoint::max()
  /// for never.
  TimePoint nextChange() const;

  /// True when the agent's tasks take several times as long as the mean of the
  /// service, or too few of its outstanding tasks have ended.
  bool isSlow(AgentIndex Agent, TimePoint Now) const;

  /// "available", "ejected", "readmitted" or "straggler".
  std::string_view healthName(AgentIndex Agent, TimePoint Now) const;

  /// Moving mean of the run times of the service; zero before the first result.
  Duration meanRunTime(std::string_view Service) const;

  /// Number of slots of the agents of a service that are in rotation.
  std::uint32_t slots(std::string_view Service) const;

  /// True when some endpoint of the service, in rotation or not, is large
  /// enough for \p Need.
  bool fitsAny(std::string_view Service, const Size &Need) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
