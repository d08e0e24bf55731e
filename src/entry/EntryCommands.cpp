// Commands, log lines and spans that all parts of the core emit.
#include "entry/EntryCoreImpl.h"

#include <utility>

namespace cyclamencroft {

void EntryCore::Impl::sendToAgent(AgentRow &Row, LinkMessage Message) {
  if (!Row.m_Link)
    return;
  Row.m_LastSentAt = m_Now;
  if (!std::holds_alternative<Dispatch>(Message))
    ++m_Counters.m_ControlMessages;
  m_Commands->emplace_back(SendMessage{*Row.m_Link, std::move(Message)});
}

void EntryCore::Impl::sendToPeer(PeerRow &Peer, LinkMessage Message) {
  Peer.m_LastSentAt = m_Now;
  ++m_Counters.m_ControlMessages;
  m_Commands->emplace_back(SendMessage{Peer.m_Link, std::move(Message)});
}

void EntryCore::Impl::closeLink(LinkId Link, std::string Reason) {
  m_Links.erase(Link);
  m_Commands->emplace_back(CloseLink{Link, std::move(Reason)});
}

void EntryCore::Impl::log(std::string_view Name,
                          std::initializer_list<LogField> Fields) {
  m_Commands->emplace_back(LogDecision{Name, Fields});
}

void EntryCore::Impl::endSpan(const TraceContext &Trace, std::uint64_t SpanId,
                              std::string_view Step, std::string Peer,
                              TimePoint Start, bool Failed) {
  m_Commands->emplace_back(
      SpanEnded{Trace, SpanId, Step, std::move(Peer), Start, m_Now, Failed});
}

std::uint64_t EntryCore::Impl::newSpanId() {
  // SplitMix64: full period, and adjacent seeds give unrelated ids.
  m_SpanState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t Value = m_SpanState;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  Value ^= Value >> 31;
  return Value == 0 ? 1 : Value;
}

std::string EntryCore::Impl::protocolMismatch(std::uint32_t PeerVersion) {
  return "link protocol " + std::to_string(PeerVersion) +
         " is not supported; this entry uses version " +
         std::to_string(ProtocolVersion);
}

void EntryCore::Impl::flushLog() { m_OutcomeLog.flush(*m_Commands); }

} // namespace cyclamencroft
