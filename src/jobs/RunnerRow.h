// What an entry knows of one agent and of its own runs there.
#pragma once

#include "core/Messages.h"
#include "entry/Slab.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace cyclamencroft {

struct OwnRun {
  /// NoIndex once its job was answered without it.
  std::uint32_t m_Job = NoIndex;
  Size m_Need;
  Duration m_Estimate{};
  TimePoint m_SentAt{};
  /// The order to stop was sent.
  bool m_Stopping = false;
};

enum class EndpointVerdict : std::uint8_t {
  Sound,
  Slow,    ///< Its runs take several times as long as usual, or stand still.
  Failing, ///< It fails more of its runs than others do.
};

struct RunnerRow {
  std::string m_AgentId;
  Incarnation m_Incarnation{};
  std::optional<LinkId> m_Link;
  EndpointView m_Endpoint;
  EndpointLoad m_Load;
  TimePoint m_LoadAt{};
  /// What m_Load says of the endpoint, against the others.
  EndpointVerdict m_Verdict = EndpointVerdict::Sound;

  std::map<RunName, OwnRun> m_Runs;
  /// Starts sent on the present link.
  std::uint64_t m_StartsSent = 0;
  /// Starts that m_Load does not include yet, oldest first.
  struct UnseenStart {
    std::uint64_t m_Ordinal;
    Size m_Need;
    TimePoint m_SentAt;
  };
  std::deque<UnseenStart> m_Unseen;

  /// Version of the configuration of which the agent says that it keeps a copy.
  ConfigVersion m_ConfigHeld = 0;
  TimePoint m_ConfigHeldAt{};
  /// Version that was sent to it, or came from it, on the present link.
  ConfigVersion m_ConfigSent = 0;

  TimePoint m_HeardAt{};
  /// First message since then that asks for an answer; max() for none.
  TimePoint m_AskedAt = TimePoint::max();
  TimePoint m_LeaseSentAt{};
  /// Nothing of this entry runs there after this time, unless the agent reports
  /// otherwise; set while the agent is out of reach.
  TimePoint m_SettledBy = TimePoint::max();
  /// The agent process is a new one and still ends the runs of the one before.
  bool m_AwaitsClearing = false;
  /// Answers are overdue: no new runs, and no further lease.
  bool m_Suspected = false;

  /// A run there is far beyond its usual time.
  bool m_Stalled = false;

  /// Room in use or waited for, as far as is known.
  Size demand() const {
    Size Sum = m_Load.m_Reserved + m_Load.m_Waiting;
    for (const UnseenStart &Each : m_Unseen)
      Sum += Each.m_Need;
    return Sum;
  }
  bool takesRuns() const {
    return m_Link && !m_Suspected &&
           m_Endpoint.m_State == EndpointState::Active;
  }
};

} // namespace cyclamencroft
