// State that the entry keeps for one agent: its link, its dispatches and
// whether it accepts new tasks.
#pragma once

#include "entry/SequenceLedger.h"
#include "entry/Submission.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamencroft {

/// Relation of a hello to the dispatches made before it.
enum class HelloRelation : std::uint8_t {
  SameWindow,     ///< Earlier dispatches can be reconciled.
  NewWindow,      ///< Outcomes are unknown; numbering continues.
  NewIncarnation, ///< Outcomes are unknown; numbering restarts.
};

/// State of the liveness check of a link with outstanding tasks. Idle: no
/// check runs. Monitored: a ping follows when no message arrives in time.
/// Pinged: a ping is unanswered. Suspected: the ping timed out.
enum class LivenessState : std::uint8_t { Idle, Monitored, Pinged, Suspected };

class AgentRow {
public:
  std::string m_Id;
  Incarnation m_Incarnation{};
  std::uint64_t m_WindowId = 0;
  AgentHello m_Hello;
  ServiceIndex m_Service = NoIndex;
  /// Empty while the link is lost.
  std::optional<LinkId> m_Link;
  /// Of the link that was accepted last.
  LinkNumber m_LinkNumber{};
  /// Empty while no endpoint is announced or the row is dormant.
  std::optional<AgentIndex> m_Route;
  SequenceLedger m_Ledger;

  AgentState m_State = AgentState::Active;
  /// The reply to a Reconcile is pending; no new tasks until it arrives.
  bool m_Reconciling = false;
  /// A later hello of another agent announced the same endpoint address.
  bool m_Superseded = false;
  bool m_GoodbyeReceived = false;
  bool m_DomainDrained = false;
  LivenessState m_Liveness = LivenessState::Idle;
  /// Availability that was last set in the router.
  bool m_Available = true;

  TimePoint m_LastMessageAt{};
  TimePoint m_LastSentAt{};
  /// When the number of outstanding tasks last rose from 0 to 1.
  TimePoint m_BusySince{};
  TimePoint m_SuspectedAt{};
  TimePoint m_LostAt{};
  ConfigVersion m_ConfigVersion = 0;
  TimerId m_GraceTimer = NoTimer;
  TimerId m_LivenessTimer = NoTimer;
  TimerId m_IdleTimer = NoTimer;
  /// Number of the last cancellation sent; each is sent only once.
  std::uint64_t m_LastCancelNumber = 0;

  /// Compares the incarnation and window of \p Hello with those of the row.
  HelloRelation classifyHello(const AgentHello &Hello) const;

  /// Name of the state that excludes the agent from new tasks; "available" when
  /// none does. See AgentReport::m_State.
  std::string_view stateName() const;

  /// True when new tasks may be dispatched to the agent.
  bool takesWork() const;
};

} // namespace cyclamencroft
