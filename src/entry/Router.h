// Chooses the agent for a task from what this entry knows of each agent's load
// and health. Holds the endpoint table.
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

/// What the router may not choose for this task.
struct RouteQuery {
  std::string_view m_Service;
  Size m_Need;
  /// Agent of an earlier attempt; avoided while another one has room.
  std::optional<AgentIndex> m_Avoid;
};

/// Why no agent was chosen.
enum class NoRoute : std::uint8_t {
  AllBusy,    ///< Endpoints exist; none is believed to have a free slot.
  NoEndpoint, ///< No endpoint of the service takes work now.
  NoneFits,   ///< Endpoints exist; none is large enough.
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

  /// An agent that may not be chosen keeps its row and its history.
  void setAvailable(AgentIndex Agent, bool Available);
  void updateStatus(AgentIndex Agent, const AgentStatus &Status, TimePoint Now);

  /// Live entries that share each agent's slots; at least 1.
  void setEntries(std::uint32_t Entries);

  /// Tasks that may wait at an agent beyond its slots (Preset::m_AgentQueue).
  void setAgentQueue(std::uint32_t Tasks);

  /// Chooses an agent; sets \p Why when there is none.
  std::optional<AgentIndex> choose(const RouteQuery &Query,
                                   const RoutingPolicy &Policy, TimePoint Now,
                                   NoRoute &Why);

  /// Bookkeeping of the entry's own tasks at an agent. Each dispatched() is
  /// followed by exactly one finished(), refused() or abandoned().
  void dispatched(AgentIndex Agent, TimePoint Now);
  void finished(AgentIndex Agent, const TaskResult &Result, TimePoint Now);
  void refused(AgentIndex Agent, const TaskRefused &Refusal, TimePoint Now);
  void abandoned(AgentIndex Agent, TimePoint Now);

  /// When an agent that can't be chosen now may become so without a message
  /// (end of an ejection, expiry of a load report); TimePoint::max() for never.
  TimePoint nextChange() const;

  /// True when the agent's tasks take several times as long as the service's,
  /// or too few of those outstanding have ended.
  bool isSlow(AgentIndex Agent, TimePoint Now) const;

  /// "available", "ejected", "readmitted" or "straggler".
  std::string_view healthName(AgentIndex Agent, TimePoint Now) const;

  /// Usual run time of the service (moving mean); zero before the first result.
  Duration usualRunTime(std::string_view Service) const;

  /// Slots of a service over all available agents.
  std::uint32_t slots(std::string_view Service) const;

  /// True when some connected endpoint of the service holds \p Need.
  bool fitsAny(std::string_view Service, const Size &Need) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
