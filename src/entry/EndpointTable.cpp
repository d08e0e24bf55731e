// Endpoint table: rows, sets by capacity and the timers that refresh rows.
#include "entry/EndpointTable.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

// At most one in three agents of a service is ejected at a time. When more of
// them fail, the fault lies with the service, and further ejections would only
// overload the remaining agents.
constexpr std::uint32_t EjectedDivisor = 3;

// One agent in four reserves a slot that cannot be borrowed, so that an entry
// with a long job does not block the other entries. The reserve leaves about 3%
// of the slots unused when only one entry has tasks.
constexpr std::uint64_t ReserveDivisor = 4;

// After a refusal for lack of a slot, other entries are assumed to fill the
// slots, which this entry gets no messages about. For this period, a burst on
// stale reports first sends one task to each agent, and more when that task is
// not refused. Sending the whole burst would waste two messages per task.
constexpr Duration ContentionPeriod = std::chrono::seconds(1);

/// FNV-1a; every entry must select the same agents for the reserve.
std::uint64_t hashOf(std::string_view Text) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const char Letter : Text) {
    Hash ^= static_cast<unsigned char>(Letter);
    Hash *= 0x100000001b3ULL;
  }
  return Hash ^ (Hash >> 32);
}

/// Removes the element at \p Index by moving the last element there. Returns
/// the moved element.
AgentIndex eraseAt(std::vector<AgentIndex> &List, std::size_t Index) {
  const AgentIndex Moved = List.back();
  List[Index] = Moved;
  List.pop_back();
  return Moved;
}

} // namespace

EndpointTable::EndpointTable(std::uint64_t Seed) : m_Seed(Seed) {}

AgentIndex EndpointTable::add(const AgentHello &Hello, TimePoint Now) {
  m_Now = std::max(m_Now, Now);
  if (m_FreeRows.empty()) {
    m_FreeRows.push_back(static_cast<AgentIndex>(m_Rows.size()));
    m_Rows.emplace_back();
  }
  const AgentIndex Agent = m_FreeRows.back();
  m_FreeRows.pop_back();
  EndpointRow &Row = m_Rows[Agent];
  Row = EndpointRow();
  Row.m_Slots = Hello.m_Slots;
  Row.m_Share = shareOf(Agent);
  Row.m_Draining = Hello.m_State == AgentState::Draining;
  Row.m_KeepsReserve = hashOf(Hello.m_AgentId) % ReserveDivisor == 0;
  Row.m_Load.reported(Hello.m_Running, m_Now);
  if (Hello.m_Service.empty())
    return Agent;
  Row.m_Class = &classFor(Hello);
  Row.m_MemberIndex = Row.m_Class->m_Members.size();
  Row.m_Class->m_Members.push_back(Agent);
  Row.m_SetIndex = Row.m_Class->at(CapacityState::OutOfRotation).size();
  Row.m_Class->at(CapacityState::OutOfRotation).push_back(Agent);
  updateServiceCounts(Row, false);
  refresh(Agent);
  return Agent;
}

void EndpointTable::remove(AgentIndex Agent) {
  EndpointRow &Row = m_Rows[Agent];
  setAvailable(Agent, false);
  if (SizeClass *Class = Row.m_Class) {
    const AgentIndex MovedInSet =
        eraseAt(Class->at(CapacityState::OutOfRotation), Row.m_SetIndex);
    m_Rows[MovedInSet].m_SetIndex = Row.m_SetIndex;
    const AgentIndex MovedMember = eraseAt(Class->m_Members, Row.m_MemberIndex);
    m_Rows[MovedMember].m_MemberIndex = Row.m_MemberIndex;
  }
  Row = EndpointRow();
  m_FreeRows.push_back(Agent);
}

SizeClass &EndpointTable::classFor(const AgentHello &Hello) {
  ServiceGroup &Service = m_Services[Hello.m_Service];
  for (const auto &Class : Service.m_Classes) {
    // A class without members is reused, so that there are never more classes
    // than agents.
    if (Class->m_Members.empty())
      Class->m_Size = Hello.m_Size;
    if (Class->m_Size == Hello.m_Size)
      return *Class;
  }
  auto Class = std::make_unique<SizeClass>();
  Class->m_Size = Hello.m_Size;
  Class->m_Service = &Service;
  Service.m_Classes.push_back(std::move(Class));
  return *Service.m_Classes.back();
}

void EndpointTable::setEntries(std::uint32_t Entries) {
  m_Entries = std::max<std::uint32_t>(Entries, 1);
  for (AgentIndex Agent = 0; Agent < m_Rows.size(); ++Agent) {
    m_Rows[Agent].m_Share = shareOf(Agent);
    refresh(Agent);
  }
}

void EndpointTable::setAgentQueue(std::uint32_t Tasks) {
  m_AgentQueue = Tasks;
  for (AgentIndex Agent = 0; Agent < m_Rows.size(); ++Agent)
    refresh(Agent);
}

void EndpointTable::setAvailable(AgentIndex Agent, bool Available) {
  EndpointRow &Row = m_Rows[Agent];
  const bool Before = Row.takesWork();
  Row.m_Available = Available;
  updateServiceCounts(Row, Before);
  refresh(Agent);
}

void EndpointTable::setDraining(AgentIndex Agent, bool Draining) {
  EndpointRow &Row = m_Rows[Agent];
  const bool Before = Row.takesWork();
  Row.m_Draining = Draining;
  updateServiceCounts(Row, Before);
  refresh(Agent);
}

void EndpointTable::setSlots(AgentIndex Agent, std::uint32_t Slots) {
  EndpointRow &Row = m_Rows[Agent];
  const bool Before = Row.takesWork();
  if (Row.m_Class && Row.m_Capacity != CapacityState::OutOfRotation)
    Row.m_Class->m_Service->m_Slots += Slots - Row.m_Slots;
  Row.m_Slots = Slots;
  Row.m_Share = shareOf(Agent);
  updateServiceCounts(Row, Before);
  refresh(Agent);
}

std::uint32_t EndpointTable::shareOf(AgentIndex Agent) const {
  // The remainder of the division is spread over consecutive agents; the seed
  // shifts the rounding so that entries round up at different agents.
  const std::uint64_t Slots = m_Rows[Agent].m_Slots;
  const std::uint64_t Turn = m_Seed % m_Entries + Agent;
  const std::uint64_t Upper = (Turn + 1) * Slots / m_Entries;
  return static_cast<std::uint32_t>(Upper - Turn * Slots / m_Entries);
}

void EndpointTable::updateServiceCounts(EndpointRow &Row, bool Before) {
  const bool After = Row.takesWork();
  if (Before == After)
    return;
  ServiceGroup &Service = *Row.m_Class->m_Service;
  const bool Ejected = Row.m_Health.state() == OutlierDetector::State::Ejected;
  if (After) {
    ++Service.m_Available;
    Service.m_Ejected += Ejected ? 1 : 0;
  } else {
    --Service.m_Available;
    Service.m_Ejected -= Ejected ? 1 : 0;
  }
  readmitBeyondLimit(Service);
}

void EndpointTable::ejectIfFailing(AgentIndex Agent) {
  EndpointRow &Row = m_Rows[Agent];
  if (!Row.takesWork() || !Row.m_Health.shouldEject())
    return;
  ServiceGroup &Service = *Row.m_Class->m_Service;
  if (Service.m_Ejected + 1 > Service.m_Available / EjectedDivisor)
    return;
  Row.m_Health.eject(m_Now);
  ++Service.m_Ejected;
}

void EndpointTable::noteContention(AgentIndex Agent) {
  if (SizeClass *Class = m_Rows[Agent].m_Class)
    Class->m_Service->m_ContendedUntil = m_Now + ContentionPeriod;
}

void EndpointTable::readmitBeyondLimit(ServiceGroup &Service) {
  while (Service.m_Ejected > Service.m_Available / EjectedDivisor) {
    const AgentIndex Agent = nextToReadmit(Service);
    m_Rows[Agent].m_Health.readmit(m_Now);
    --Service.m_Ejected;
    refresh(Agent);
  }
}

AgentIndex EndpointTable::nextToReadmit(const ServiceGroup &Service) const {
  AgentIndex First = 0;
  TimePoint FirstEnd = TimePoint::max();
  for (const auto &Class : Service.m_Classes)
    for (const AgentIndex Agent : Class->at(CapacityState::OutOfRotation)) {
      const EndpointRow &Row = m_Rows[Agent];
      const bool Ejected =
          Row.takesWork() &&
          Row.m_Health.state() == OutlierDetector::State::Ejected;
      if (Ejected && Row.m_Health.ejectedUntil() < FirstEnd) {
        First = Agent;
        FirstEnd = Row.m_Health.ejectedUntil();
      }
    }
  return First;
}

void EndpointTable::refresh(AgentIndex Agent) {
  EndpointRow &Row = m_Rows[Agent];
  if (!Row.m_Class)
    return;
  OutlierDetector &Health = Row.m_Health;
  if (Health.state() == OutlierDetector::State::Ejected &&
      Health.ejectedUntil() <= m_Now) {
    Health.readmit(m_Now);
    Row.m_Class->m_Service->m_Ejected -= Row.takesWork() ? 1 : 0;
  }
  move(Agent, capacityOf(Row));
  schedule(Agent);
}

CapacityState EndpointTable::capacityOf(const EndpointRow &Row) const {
  const OutlierDetector::State Health = Row.m_Health.state();
  if (!Row.takesWork() || Health == OutlierDetector::State::Ejected)
    return CapacityState::OutOfRotation;
  if (Health == OutlierDetector::State::Readmitted && Row.m_Load.ownTasks() > 0)
    return CapacityState::Full;
  if (isTrialPending(Row))
    return CapacityState::Full;
  const Duration MeanRunTime = Row.m_Class->m_Service->m_RunTime.mean();
  return capacityAtLoad(Row, Row.m_Load.busySlots(m_Now, MeanRunTime));
}

bool EndpointTable::isTrialPending(const EndpointRow &Row) const {
  return m_Now < Row.m_Class->m_Service->m_ContendedUntil &&
         Row.m_Load.isWithinRefusalWindow(m_Now);
}

CapacityState EndpointTable::capacityAtLoad(const EndpointRow &Row,
                                            std::uint32_t Used) const {
  const std::uint32_t Own = Row.m_Load.ownTasks();
  if (Used < Row.m_Slots && Own < Row.m_Share)
    return CapacityState::Share;
  const std::uint32_t Reserve = Row.m_KeepsReserve && m_Entries > 1 ? 1 : 0;
  if (Used + Reserve < Row.m_Slots)
    return CapacityState::Borrow;
  const std::uint32_t QueueShare = (m_AgentQueue + m_Entries - 1) / m_Entries;
  if (Own < Row.m_Share + QueueShare && QueueShare > 0 &&
      !Row.m_Load.isRefusedAsFull())
    return CapacityState::Queue;
  return CapacityState::Full;
}

void EndpointTable::move(AgentIndex Agent, CapacityState Capacity) {
  EndpointRow &Row = m_Rows[Agent];
  if (Row.m_Capacity == Capacity)
    return;
  SizeClass &Class = *Row.m_Class;
  if (Row.m_Capacity == CapacityState::OutOfRotation)
    Class.m_Service->m_Slots += Row.m_Slots;
  if (Capacity == CapacityState::OutOfRotation)
    Class.m_Service->m_Slots -= Row.m_Slots;
  const AgentIndex Moved = eraseAt(Class.at(Row.m_Capacity), Row.m_SetIndex);
  m_Rows[Moved].m_SetIndex = Row.m_SetIndex;
  Row.m_Capacity = Capacity;
  Row.m_SetIndex = Class.at(Capacity).size();
  Class.at(Capacity).push_back(Agent);
}

bool EndpointTable::needsTimer(const EndpointRow &Row) const {
  if (Row.m_Capacity == CapacityState::Full ||
      Row.m_Capacity == CapacityState::Queue)
    return true;
  return Row.m_Capacity == CapacityState::OutOfRotation && Row.takesWork();
}

void EndpointTable::schedule(AgentIndex Agent) {
  EndpointRow &Row = m_Rows[Agent];
  if (!needsTimer(Row))
    return;
  const Duration MeanRunTime = Row.m_Class->m_Service->m_RunTime.mean();
  TimePoint Due = Row.m_Health.ejectedUntil();
  if (Row.m_Capacity != CapacityState::OutOfRotation)
    Due = isTrialPending(Row) ? Row.m_Load.refusalWindowEnd()
                              : Row.m_Load.nextDecrease(m_Now, MeanRunTime);
  // A row has one live timer. A timer that fires too early only refreshes the
  // row once more, so timers are never postponed.
  if (Due >= Row.m_TimerAt)
    return;
  Row.m_TimerAt = Due;
  m_Timers.push({Due, Agent});
}

void EndpointTable::advance(TimePoint Now) {
  m_Now = std::max(m_Now, Now);
  while (!m_Timers.empty() && m_Timers.top().m_At <= m_Now) {
    const Timer Due = m_Timers.top();
    m_Timers.pop();
    EndpointRow &Row = m_Rows[Due.m_Agent];
    if (Row.m_TimerAt != Due.m_At)
      continue;
    Row.m_TimerAt = TimePoint::max();
    refresh(Due.m_Agent);
  }
}

TimePoint EndpointTable::nextChange() {
  while (!m_Timers.empty()) {
    const Timer &Next = m_Timers.top();
    EndpointRow &Row = m_Rows[Next.m_Agent];
    const bool Live = Row.m_TimerAt == Next.m_At;
    if (Live && needsTimer(Row))
      return Next.m_At;
    // The row no longer needs a timer, or the timer was replaced.
    if (Live)
      Row.m_TimerAt = TimePoint::max();
    m_Timers.pop();
  }
  return TimePoint::max();
}

ServiceGroup *EndpointTable::find(std::string_view Service) {
  const auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? nullptr : &Found->second;
}

} // namespace cyclamencroft
