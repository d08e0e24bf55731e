// What the entry knows of one agent: its link, its dispatches and whether it
// takes new work.
#pragma once

#include "entry/SequenceLedger.h"
#include "entry/Submission.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamencroft {

/// What a hello means for the dispatches made before it.
enum class HelloMeaning : std::uint8_t {
  SameWindow,     ///< Can be reconciled.
  NewWindow,      ///< Outcomes are unknown; numbering continues.
  NewIncarnation, ///< Outcomes are unknown; numbering restarts.
};

/// Silence check of a link with outstanding tasks.
enum class SilenceState : std::uint8_t { Quiet, Watched, Pinged, Suspected };

class AgentRow {
public:
  std::string m_Id;
  Incarnation m_Incarnation{};
  std::uint64_t m_WindowId = 0;
  AgentHello m_Hello;
  ServiceIndex m_Service = NoIndex;
  /// Empty while the link is lost.
  std::optional<LinkId> m_Link;
  /// Empty while no endpoint is announced or the row is dormant.
  std::optional<AgentIndex> m_Route;
  SequenceLedger m_Ledger;

  AgentState m_State = AgentState::Active;
  /// Waits for the reply to a Reconcile; no new work until then.
  bool m_Reconciling = false;
  /// A later hello of another agent claims the endpoint address.
  bool m_Superseded = false;
  bool m_SaidGoodbye = false;
  bool m_DomainDrained = false;
  SilenceState m_Silence = SilenceState::Quiet;
  /// What the router was told last.
  bool m_Available = true;

  TimePoint m_LastHeard{};
  TimePoint m_LastSent{};
  /// When outstanding tasks last went from none to one.
  TimePoint m_BusySince{};
  TimePoint m_SuspectedAt{};
  TimePoint m_LostAt{};
  ConfigVersion m_ConfigVersion = 0;
  TimerId m_GraceTimer = NoTimer;
  TimerId m_SilenceTimer = NoTimer;
  TimerId m_IdleTimer = NoTimer;
  /// Number of the last cancellation sent, so that each goes out once.
  std::uint64_t m_LastCancel = 0;

  /// Compares a hello with the identity of the row.
  HelloMeaning meaningOf(const AgentHello &Hello) const;

  /// Name of what keeps new tasks away; "available" when nothing does.
  std::string_view stateName() const;

  /// True when new tasks may be dispatched to the agent.
  bool takesWork() const;
};

} // namespace cyclamencroft
