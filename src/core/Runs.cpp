// Text forms of run names, run ends and states.
#include "core/Runs.h"

namespace cyclamencroft {

std::string describe(const RunName &Run) {
  return toHex(Run.m_Task.m_Job) + '.' + std::to_string(Run.m_Task.m_Step) +
         '.' + std::to_string(Run.m_Task.m_Index) + '#' +
         std::to_string(Run.m_Number);
}

std::string describe(EndpointGeneration Generation) {
  return std::to_string(static_cast<std::uint64_t>(Generation));
}

std::string_view toString(RunEnd End) {
  switch (End) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::LeaseExpired:
    return "lapsed";
  case RunEnd::Lost:
    return "lost";
  case RunEnd::NotStarted:
    return "not-started";
  }
  return "invalid";
}

std::string_view toString(StartRefusal Reason) {
  switch (Reason) {
  case StartRefusal::None:
    return "none";
  case StartRefusal::NoCapacity:
    return "no-room";
  case StartRefusal::Draining:
    return "leaving";
  case StartRefusal::NoEndpoint:
    return "no-endpoint";
  case StartRefusal::Late:
    return "late";
  case StartRefusal::Unhealthy:
    return "unhealthy";
  case StartRefusal::Superseded:
    return "superseded";
  case StartRefusal::Invalid:
    return "invalid";
  case StartRefusal::Cancelled:
    return "cancelled";
  case StartRefusal::OtherEndpoint:
    return "other-endpoint";
  case StartRefusal::Evacuated:
    return "evacuated";
  }
  return "invalid";
}

std::string_view toString(EndpointState State) {
  switch (State) {
  case EndpointState::Absent:
    return "absent";
  case EndpointState::Clearing:
    return "clearing";
  case EndpointState::Active:
    return "active";
  case EndpointState::Draining:
    return "leaving";
  case EndpointState::Evacuated:
    return "evacuated";
  }
  return "invalid";
}

} // namespace cyclamencroft
