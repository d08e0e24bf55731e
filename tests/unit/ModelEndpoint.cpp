// Endpoint of the fleet model.
#include "ModelEndpoint.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {

EndpointHeartbeat ModelEndpoint::heartbeat(TimePoint Now) {
  EndpointHeartbeat Beat;
  Beat.m_EndpointIncarnation = {"endpoint-" + std::to_string(m_StartedAtMs),
                                m_StartedAtMs};
  Beat.m_Sequence = ++m_Heartbeats;
  Beat.m_Address = "127.0.0.1:9";
  Beat.m_Clock = clock(Now);
  Beat.m_View.m_Service = "desk";
  Beat.m_View.m_Labels = m_Labels;
  Beat.m_View.m_WorkerType = m_WorkerType;
  Beat.m_View.m_Capacity = {wholeCores(m_Cores), 1000000, 0};
  Beat.m_View.m_State = EndpointState::Active;
  return Beat;
}

void ModelEndpoint::replace(std::vector<std::string> Labels) {
  m_Labels = std::move(Labels);
  ++m_StartedAtMs;
  m_Heartbeats = 0;
  m_Running.clear();
  m_Ended.clear();
  m_LastEnd = 0;
  m_Hold.reset();
}

void ModelEndpoint::setSpeed(double Speed, std::string WorkerType) {
  m_Speed = Speed;
  m_WorkerType = std::move(WorkerType);
}

Duration ModelEndpoint::runTimeOf(Duration AtFullSpeed) const {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(AtFullSpeed.count()) / m_Speed));
}

bool ModelEndpoint::hasLabel(const std::string &Label) const {
  return std::find(m_Labels.begin(), m_Labels.end(), Label) != m_Labels.end();
}

void ModelEndpoint::start(const CallStart &Call, TimePoint EndsAt) {
  m_Running.emplace(Call.m_Run, EndsAt);
}

void ModelEndpoint::stop(const CallStop &Call) {
  if (m_Running.count(Call.m_Run) != 0)
    end(Call.m_Run, RunEnd::Stopped);
}

void ModelEndpoint::hold(const CallHold &Call, TimePoint Now) {
  m_Ended.erase(std::remove_if(m_Ended.begin(), m_Ended.end(),
                               [&Call](const EndedRun &Each) {
                                 return Each.m_Number <=
                                        Call.m_AcknowledgedEnds;
                               }),
                m_Ended.end());
  m_Hold = Call;
  m_HoldExpiresAt = Now + Call.m_Wait;
}

std::optional<HoldAnswered> ModelEndpoint::takeHoldAnswer(TimePoint Now) {
  for (auto Next = m_Running.begin(); Next != m_Running.end();) {
    const auto Each = Next++;
    if (Each->second <= Now)
      end(Each->first, RunEnd::Done);
  }
  if (!m_Hold || (m_Ended.empty() && Now < m_HoldExpiresAt))
    return std::nullopt;
  HoldAnswered Answer;
  Answer.m_Call = m_Hold->m_Number;
  Answer.m_StartedAtMs = m_StartedAtMs;
  Answer.m_Clock = clock(Now);
  for (const auto &[Run, EndsAt] : m_Running)
    Answer.m_Running.push_back(Run);
  Answer.m_Ended = m_Ended;
  m_Hold.reset();
  return Answer;
}

void ModelEndpoint::end(const RunName &Run, RunEnd End) {
  m_Running.erase(Run);
  m_Ended.push_back({++m_LastEnd, Run, End});
}

} // namespace cyclamencroft
