// Formats messages and decisions as lines of text.
#include "Transcript.h"

#include "core/Outcome.h"

#include <cstdio>

namespace cyclamencroft::session {
namespace {

std::string toText(std::uint64_t Value) { return std::to_string(Value); }

std::string toStdString(std::string_view Value) { return std::string(Value); }

/// Formats the type and fields of a message. Omits clock readings and span ids,
/// which are not decisions.
struct MessageFormatter {
  const Transcript &m_Transcript;

  std::string operator()(const AgentHello &Message) const {
    return "AgentHello window=" + toText(Message.m_WindowId) +
           " service=" + Message.m_Service +
           " endpoint=" + Message.m_EndpointAddress +
           " slots=" + toText(Message.m_Slots) +
           " running=" + toText(Message.m_Running) +
           formatState(Message.m_State) +
           " config=" + toText(Message.m_ConfigVersion);
  }
  std::string operator()(const EntryHello &Message) const {
    return "EntryHello config=" + toText(Message.m_ConfigVersion) +
           " entries=" + toText(Message.m_Entries);
  }
  std::string operator()(const Dispatch &Message) const {
    return "Dispatch sequence=" + toText(Message.m_Sequence) +
           " floor=" + toText(Message.m_Floor) +
           " task=" + m_Transcript.nameOf(Message.m_Request) + "/" +
           toText(Message.m_TaskIndex) +
           (Message.m_NonIdempotent ? " non-idempotent" : "") +
           " left=" + formatTime(Message.m_TimeLeft);
  }
  std::string operator()(const TaskResult &Message) const {
    return "TaskResult sequence=" + toText(Message.m_Sequence) + " " +
           toStdString(toString(Message.m_Outcome)) +
           " status=" + toText(Message.m_HttpStatus) +
           " run=" + formatTime(Message.m_RunTime) +
           " running=" + toText(Message.m_Running);
  }
  std::string operator()(const TaskRefused &Message) const {
    return "TaskRefused sequence=" + toText(Message.m_Sequence) + " " +
           toStdString(toString(Message.m_Reason)) +
           " running=" + toText(Message.m_Running);
  }
  std::string operator()(const CancelTasks &Message) const {
    return "CancelTasks " + m_Transcript.nameOf(Message.m_Request);
  }
  std::string operator()(const Reconcile &Message) const {
    std::string Line = "Reconcile";
    for (const Sequence Number : Message.m_Sequences)
      Line += " " + toText(Number);
    return Line;
  }
  std::string operator()(const ReconcileReply &Message) const {
    static const char *const States[] = {"running", "finished", "fenced",
                                         "unknown"};
    std::string Line = "ReconcileReply";
    for (const SequenceReport &Report : Message.m_Reports)
      Line += " " + toText(Report.m_Sequence) + "=" +
              States[static_cast<std::size_t>(Report.m_State)];
    return Line;
  }
  std::string operator()(const AgentStatus &Message) const {
    return "AgentStatus" + formatState(Message.m_State) +
           " slots=" + toText(Message.m_Slots) +
           " running=" + toText(Message.m_Running);
  }
  std::string operator()(const ConfigView &Message) const {
    std::string Line = "ConfigView version=" + toText(Message.m_Version) +
                       " preset=" + Message.m_Preset;
    for (const std::string &Domain : Message.m_DrainedFailureDomains)
      Line += " drained=" + Domain;
    return Line;
  }
  std::string operator()(const Heartbeat &Message) const {
    return "Heartbeat config=" + toText(Message.m_ConfigVersion);
  }
  std::string operator()(const Ping &Message) const {
    return "Ping " + toText(Message.m_Number);
  }
  std::string operator()(const Pong &Message) const {
    return "Pong " + toText(Message.m_Number);
  }
  std::string operator()(const ConfigTransfer &Message) const {
    return "ConfigTransfer version=" + toText(Message.m_Version) +
           " preset=" + Message.m_Preset;
  }
  std::string operator()(const QuotaReport &Message) const {
    std::string Line = "QuotaReport";
    for (const TeamDemand &Demand : Message.m_Demands)
      Line += " " + Demand.m_Team + "=" + toText(Demand.m_StartsPerSecond);
    return Line;
  }
  std::string operator()(const Goodbye &Message) const {
    return "Goodbye " + Message.m_Reason;
  }
  /// Messages of leased runs: sessions send none.
  template <class OtherMessage>
  std::string operator()(const OtherMessage &) const {
    return "message of leased runs";
  }

  static std::string formatState(AgentState State) {
    return State == AgentState::Active ? " active" : " leaving";
  }
};

} // namespace

std::string formatTime(Duration Value) {
  const long long Count = Value.count();
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%lld.%03lldms", Count / 1000,
                Count % 1000);
  return Buffer;
}

std::string messageTypeName(const LinkMessage &Message) {
  const std::string Line = std::visit(MessageFormatter{Transcript()}, Message);
  return Line.substr(0, Line.find(' '));
}

void Transcript::nameRequest(const RequestId &Request, std::string Name) {
  m_Names[Request] = std::move(Name);
}

std::string Transcript::nameOf(const RequestId &Request) const {
  const auto Found = m_Names.find(Request);
  return Found == m_Names.end() ? Request.toHex() : Found->second;
}

void Transcript::add(Duration Now, const std::string &Node,
                     const std::string &Text) {
  m_Lines.push_back(formatTime(Now) + " " + Node + " " + Text);
}

void Transcript::message(Duration Now, const std::string &From,
                         const std::string &To, const LinkMessage &Message) {
  const std::string Line = std::visit(MessageFormatter{*this}, Message);
  add(Now, From, "-> " + To + " " + Line);
}

void Transcript::decision(Duration Now, const std::string &Node,
                          const LogDecision &Decision) {
  std::string Line = "event=" + toStdString(Decision.m_Event);
  for (const LogField &Field : Decision.m_Fields) {
    std::string Value = Field.m_Value;
    for (const auto &[Request, Name] : m_Names)
      if (Value == Request.toHex())
        Value = Name;
    Line += " " + toStdString(Field.m_Key) + "=" + Value;
  }
  add(Now, Node, Line);
}

std::string Transcript::text() const {
  std::string Text;
  for (const std::string &Line : m_Lines)
    Text += Line + "\n";
  return Text;
}

} // namespace cyclamencroft::session
