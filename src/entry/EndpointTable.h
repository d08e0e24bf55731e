// Agents known to an entry, grouped by service and size and kept in sets by
// their capacity for new tasks, so that a choice needs no scan.
#pragma once

#include "core/Messages.h"
#include "entry/LoadEstimate.h"
#include "entry/OutlierDetector.h"
#include "entry/ProgressEstimate.h"
#include "entry/Router.h"
#include "entry/RunTimeMean.h"

#include <array>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace cyclamencroft {

/// Capacity of an agent for new tasks of this entry, by its estimated load.
enum class CapacityState : std::uint8_t {
  OutOfRotation, ///< Accepts no tasks: unavailable, draining or ejected.
  Share,         ///< Slots free, and the entry's own share is not used up.
  Borrow,        ///< Slots free beyond the entry's share.
  Queue, ///< No slot free, but the agent's queue has capacity for this entry.
  Full   ///< In rotation, but without capacity.
};
constexpr std::size_t CapacityStateCount = 5;

struct ServiceGroup;

/// Agents of one service with the same size.
struct SizeClass {
  Size m_Size;
  ServiceGroup *m_Service = nullptr;
  std::vector<AgentIndex> m_Members;
  std::array<std::vector<AgentIndex>, CapacityStateCount> m_AgentsByCapacity;

  const std::vector<AgentIndex> &at(CapacityState Capacity) const {
    return m_AgentsByCapacity[static_cast<std::size_t>(Capacity)];
  }
  std::vector<AgentIndex> &at(CapacityState Capacity) {
    return m_AgentsByCapacity[static_cast<std::size_t>(Capacity)];
  }
  /// Number of members in rotation, with or without capacity now.
  std::size_t inRotation() const {
    return m_Members.size() - at(CapacityState::OutOfRotation).size();
  }
};

struct ServiceGroup {
  std::vector<std::unique_ptr<SizeClass>> m_Classes;
  RunTimeMean m_RunTime{64};
  /// Slots of the agents in rotation.
  std::uint32_t m_Slots = 0;
  /// Agents that are available and not draining, ejected ones included.
  std::uint32_t m_Available = 0;
  /// Ejected agents among m_Available.
  std::uint32_t m_Ejected = 0;
  /// Until this time, other entries are assumed to use the slots too.
  TimePoint m_ContendedUntil{};
  /// Index of the member that the round-robin policy tried last.
  std::size_t m_Cursor = 0;
};

struct EndpointRow {
  /// Null while the row is unused or the agent has no endpoint.
  SizeClass *m_Class = nullptr;
  std::uint32_t m_Slots = 0;
  /// This entry's part of the slots; tasks beyond it borrow free slots.
  std::uint32_t m_Share = 0;
  bool m_Available = true;
  bool m_Draining = false;
  /// Borrowing leaves one slot of this agent free.
  bool m_KeepsReserve = false;
  LoadEstimate m_Load;
  OutlierDetector m_Health;
  RunTimeMean m_RunTime{16};
  ProgressEstimate m_Progress;
  CapacityState m_Capacity = CapacityState::OutOfRotation;
  /// Index in the class's set for m_Capacity and in the class's members.
  std::size_t m_SetIndex = 0;
  std::size_t m_MemberIndex = 0;
  /// Time of the live timer of this row; max() for none.
  TimePoint m_TimerAt = TimePoint::max();

  bool takesWork() const {
    return m_Class && m_Available && !m_Draining && m_Slots > 0;
  }
};

class EndpointTable {
public:
  explicit EndpointTable(std::uint64_t Seed);

  /// Adds a row for the agent; indices of removed rows are reused.
  AgentIndex add(const AgentHello &Hello, TimePoint Now);
  void remove(AgentIndex Agent);

  EndpointRow &row(AgentIndex Agent) { return m_Rows[Agent]; }
  const EndpointRow &row(AgentIndex Agent) const { return m_Rows[Agent]; }

  void setEntries(std::uint32_t Entries);
  void setAgentQueue(std::uint32_t Tasks);
  std::uint32_t agentQueue() const { return m_AgentQueue; }
  void setAvailable(AgentIndex Agent, bool Available);
  void setDraining(AgentIndex Agent, bool Draining);
  void setSlots(AgentIndex Agent, std::uint32_t Slots);

  /// Moves the agent to the set that matches its row. Must be called after
  /// every change of the row's load or health.
  void refresh(AgentIndex Agent);

  /// Records that the agent refused a task for lack of a slot: for a while,
  /// other entries are assumed to use the slots of its service too.
  void noteContention(AgentIndex Agent);

  /// Ejects the agent when it has failed too many tasks and the service's limit
  /// on ejections permits it.
  void ejectIfFailing(AgentIndex Agent);

  /// Advances the clock to \p Now and refreshes rows whose ejection ended or
  /// whose load estimate decayed.
  void advance(TimePoint Now);
  /// Time of the next refresh that is needed without a call; max() for none.
  TimePoint nextChange();

  /// Null when the service is unknown.
  ServiceGroup *find(std::string_view Service);
  TimePoint now() const { return m_Now; }

private:
  struct Timer {
    TimePoint m_At;
    AgentIndex m_Agent;
    bool operator>(const Timer &Other) const { return m_At > Other.m_At; }
  };

  SizeClass &classFor(const AgentHello &Hello);
  CapacityState capacityOf(const EndpointRow &Row) const;
  /// True while the service is contended and the agent's last dispatch, made on
  /// a stale report, may still be refused.
  bool isTrialPending(const EndpointRow &Row) const;
  CapacityState capacityAtLoad(const EndpointRow &Row,
                               std::uint32_t Used) const;
  std::uint32_t shareOf(AgentIndex Agent) const;
  void move(AgentIndex Agent, CapacityState Capacity);
  /// Updates the counts of the service when takesWork() is no longer \p Before.
  void updateServiceCounts(EndpointRow &Row, bool Before);
  void readmitBeyondLimit(ServiceGroup &Service);
  /// The ejected agent whose ejection ends first.
  AgentIndex nextToReadmit(const ServiceGroup &Service) const;
  void schedule(AgentIndex Agent);
  bool needsTimer(const EndpointRow &Row) const;

  std::uint64_t m_Seed;
  std::uint32_t m_Entries = 1;
  std::uint32_t m_AgentQueue = 0;
  /// Latest time passed to add() or advance().
  TimePoint m_Now{};
  std::vector<EndpointRow> m_Rows;
  std::vector<AgentIndex> m_FreeRows;
  std::map<std::string, ServiceGroup, std::less<>> m_Services;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_Timers;
};

} // namespace cyclamencroft
