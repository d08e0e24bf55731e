// Rows of the agents that an entry knows, grouped by service and size and kept
// in sets by what the entry may send them now, so that a choice needs no scan.
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

/// What an entry may send to an agent now.
enum class Place : std::uint8_t {
  Out,    ///< Takes no work: unavailable, leaving or ejected.
  Share,  ///< Believed free, and the entry's own share is not used up.
  Borrow, ///< Believed free beyond the entry's share.
  Queue,  ///< No slot free, but the agent's queue has room for this entry.
  Full    ///< In rotation without room.
};
constexpr std::size_t PlaceCount = 5;

struct ServiceGroup;

/// Agents of one service with the same size.
struct SizeClass {
  Size m_Size;
  ServiceGroup *m_Service = nullptr;
  std::vector<AgentIndex> m_Members;
  std::array<std::vector<AgentIndex>, PlaceCount> m_Places;

  const std::vector<AgentIndex> &at(Place Where) const {
    return m_Places[static_cast<std::size_t>(Where)];
  }
  std::vector<AgentIndex> &at(Place Where) {
    return m_Places[static_cast<std::size_t>(Where)];
  }
  /// Members that take work, with or without room now.
  std::size_t inRotation() const {
    return m_Members.size() - at(Place::Out).size();
  }
};

struct ServiceGroup {
  std::vector<std::unique_ptr<SizeClass>> m_Classes;
  RunTimeMean m_RunTime{64};
  /// Slots of the agents in rotation.
  std::uint32_t m_Slots = 0;
  /// Agents that are available and not leaving, ejected ones included.
  std::uint32_t m_Available = 0;
  /// Ejected agents among m_Available.
  std::uint32_t m_Ejected = 0;
  /// Until then slots are taken to be in demand at other entries too.
  TimePoint m_ContendedUntil{};
  /// Position of the round-robin policy.
  std::size_t m_Cursor = 0;
};

struct EndpointRow {
  /// Null while the row is unused or the agent has no endpoint.
  SizeClass *m_Class = nullptr;
  std::uint32_t m_Slots = 0;
  /// Slots that this entry may use at any time.
  std::uint32_t m_Share = 0;
  bool m_Available = true;
  bool m_Leaving = false;
  /// Borrowing entries leave one slot of this agent free.
  bool m_KeepsReserve = false;
  LoadEstimate m_Load;
  OutlierDetector m_Health;
  RunTimeMean m_RunTime{16};
  ProgressEstimate m_Progress;
  Place m_Place = Place::Out;
  /// Index in the set of m_Place and in the class's members.
  std::size_t m_PlaceIndex = 0;
  std::size_t m_MemberIndex = 0;
  /// Earliest entry of the timer queue for this row.
  TimePoint m_TimerAt = TimePoint::max();

  bool takesWork() const {
    return m_Class && m_Available && !m_Leaving && m_Slots > 0;
  }
};

class EndpointTable {
public:
  explicit EndpointTable(std::uint64_t Seed);

  AgentIndex add(const AgentHello &Hello, TimePoint Now);
  void remove(AgentIndex Agent);

  EndpointRow &row(AgentIndex Agent) { return m_Rows[Agent]; }
  const EndpointRow &row(AgentIndex Agent) const { return m_Rows[Agent]; }

  void setEntries(std::uint32_t Entries);
  void setAgentQueue(std::uint32_t Tasks);
  std::uint32_t agentQueue() const { return m_AgentQueue; }
  void setAvailable(AgentIndex Agent, bool Available);
  void setLeaving(AgentIndex Agent, bool Leaving);
  void setSlots(AgentIndex Agent, std::uint32_t Slots);

  /// Puts the agent into the set that its row calls for. Call after every
  /// change of a row's load or health.
  void refresh(AgentIndex Agent);

  /// An agent of the service had no room although it was believed to.
  void noteContention(AgentIndex Agent);

  /// Ejects the agent when its failures call for it and the limit allows it.
  void ejectIfFailing(AgentIndex Agent);

  /// Moves rows whose ejection or load report has run out.
  void advance(TimePoint Now);
  TimePoint nextChange();

  ServiceGroup *find(std::string_view Service);
  TimePoint now() const { return m_Now; }

private:
  struct Timer {
    TimePoint m_At;
    AgentIndex m_Agent;
    bool operator>(const Timer &Other) const { return m_At > Other.m_At; }
  };

  SizeClass &classFor(const AgentHello &Hello);
  Place placeOf(const EndpointRow &Row) const;
  bool isCautious(const EndpointRow &Row) const;
  Place placeWithin(const EndpointRow &Row, std::uint32_t Used) const;
  std::uint32_t shareOf(AgentIndex Agent) const;
  void move(AgentIndex Agent, Place Where);
  void changeTakesWork(EndpointRow &Row, bool Before);
  void readmitBeyondLimit(ServiceGroup &Service);
  AgentIndex firstEjected(const ServiceGroup &Service) const;
  void schedule(AgentIndex Agent);
  bool needsTimer(const EndpointRow &Row) const;

  std::uint64_t m_Seed;
  std::uint32_t m_Entries = 1;
  std::uint32_t m_AgentQueue = 0;
  /// Latest time that a caller told.
  TimePoint m_Now{};
  std::vector<EndpointRow> m_Rows;
  std::vector<AgentIndex> m_FreeRows;
  std::map<std::string, ServiceGroup, std::less<>> m_Services;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_Timers;
};

} // namespace cyclamencroft
