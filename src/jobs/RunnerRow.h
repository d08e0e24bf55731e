// State of one agent as an entry sees it, and the entry's own runs there.
#pragma once

#include "core/Messages.h"
#include "entry/Slab.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cyclamencroft {

struct OwnRun {
  /// NoIndex once its job has been answered before the run ended.
  std::uint32_t m_Job = NoIndex;
  Size m_Need;
  Duration m_Estimate{};
  TimePoint m_SentAt{};
  /// A request to stop the run was sent.
  bool m_Stopping = false;

  bool isNeeded() const { return m_Job != NoIndex && !m_Stopping; }
};

enum class EndpointHealth : std::uint8_t {
  Healthy,
  Slow,    ///< Its runs take several times as long as usual, or are stalled.
  Failing, ///< A larger share of its runs fails than at other endpoints.
};

struct RunnerRow {
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  std::optional<LinkId> m_Link;
  /// Of the link that was accepted last.
  LinkNumber m_LinkNumber{};
  EndpointView m_Endpoint;
  EndpointLoad m_Load;
  TimePoint m_LoadAt{};
  /// Result of the comparison of m_Load with those of other endpoints.
  EndpointHealth m_Health = EndpointHealth::Healthy;

  std::map<RunName, OwnRun> m_Runs;
  /// Number of starts sent on the current link.
  std::uint64_t m_StartsSent = 0;
  /// Starts that m_Load does not include yet, oldest first.
  struct UnacknowledgedStart {
    std::uint64_t m_Ordinal;
    Size m_Need;
    TimePoint m_SentAt;
  };
  std::deque<UnacknowledgedStart> m_UnacknowledgedStarts;

  /// Version of the configuration copy that the agent has reported; 0 for none
  /// and once the copy was received.
  ConfigVersion m_ConfigHeld = 0;
  TimePoint m_ConfigHeldAt{};
  /// Version sent to or received from the agent on the current link; 0 for
  /// none.
  ConfigVersion m_ConfigSent = 0;

  TimePoint m_LastMessageAt{};
  /// When the first message since then was sent that requires an answer; max()
  /// for none.
  TimePoint m_AnswerAwaitedSince = TimePoint::max();
  TimePoint m_LeaseSentAt{};
  /// No run of this entry is in progress there after this time, unless the
  /// agent reports otherwise. Set while the agent is unreachable; max() when
  /// not set.
  TimePoint m_LeasesExpiredAt = TimePoint::max();
  /// The agent process was restarted and is still ending the runs of the
  /// previous process.
  bool m_AwaitsEarlierRunsEnded = false;
  /// Answers are overdue: the agent gets no new runs and no further leases.
  bool m_Suspected = false;

  /// A run there has far exceeded its usual run time.
  bool m_Stalled = false;
  /// The entry knows that the endpoint's failure domain is evacuated; the agent
  /// may know it first.
  bool m_DomainEvacuated = false;

  bool isEvacuated() const {
    return m_DomainEvacuated || m_Endpoint.m_State == EndpointState::Evacuated;
  }

  /// Capacity that is in use or waited for, as far as known.
  Size demand() const {
    Size Sum = m_Load.m_Reserved + m_Load.m_Waiting;
    for (const UnacknowledgedStart &Each : m_UnacknowledgedStarts)
      Sum += Each.m_Need;
    return Sum;
  }
  bool takesRuns() const {
    return m_Link && !m_Suspected && !m_DomainEvacuated &&
           m_Endpoint.m_State == EndpointState::Active;
  }
};

} // namespace cyclamencroft
