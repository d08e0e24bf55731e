// Decides on the records of the configuration stream. A change is accepted if
// and only if its base is the version in effect at its offset and the result is
// valid. While that version is unknown, changes are held until a snapshot or a
// peer's state provides it.
#include "config/ConfigStateMachine.h"

#include "config/ConfigDocument.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Limit on the total size of held changes; an entry may use 32 MB of memory in
/// all. Above the limit the oldest changes are dropped, with the only effect
/// that snapshots below them become unusable.
constexpr std::size_t MaxHeldBytes = std::size_t{8} * 1024 * 1024;

/// Joins the faults to one line for logs and operators.
std::string describe(const DiagnosticList &Diagnostics) {
  std::string Text;
  for (const std::string &Fault : Diagnostics.faults())
    Text += (Text.empty() ? "" : "; ") + Fault;
  return Text;
}

/// Returns null and sets \p Reason when the document or preset is invalid.
std::shared_ptr<ConfigState> makeState(ConfigVersion Version,
                                       std::uint64_t Offset,
                                       const std::string &PresetName,
                                       const std::string &Document,
                                       std::string &Reason) {
  DiagnosticList Diagnostics("document");
  auto Parsed = parseConfigDocument(Document, Diagnostics);
  if (!Parsed) {
    Reason = "invalid document: " + describe(Diagnostics);
    return nullptr;
  }
  if (Parsed->m_Configuration.m_Presets.count(PresetName) == 0) {
    Reason = "unknown preset \"" + PresetName + '"';
    return nullptr;
  }
  auto State = std::make_shared<ConfigState>();
  State->m_Version = Version;
  State->m_Offset = Offset;
  State->m_PresetName = PresetName;
  State->m_Document = Document;
  State->m_Configuration = std::move(Parsed->m_Configuration);
  return State;
}

} // namespace

ConfigStateMachine::ConfigStateMachine()
    : m_Current(std::make_shared<ConfigState>()) {}

ConfigVersion ConfigStateMachine::currentVersion() const {
  return m_Current ? m_Current->m_Version : 0;
}

void ConfigStateMachine::adopt(const ConfigStatePtr &State) {
  const ConfigVersion Held = m_Adopted ? m_Adopted->m_Version : 0;
  if (State->m_Version > Held)
    m_Adopted = State;
}

Snapshot ConfigStateMachine::makeSnapshot() const {
  return {m_Current->m_Version, m_Next, m_Current->m_PresetName,
          m_Current->m_Document};
}

void ConfigStateMachine::truncatedTo(std::uint64_t First) {
  if (First > m_Next)
    restartAt(First);
}

void ConfigStateMachine::restartAt(std::uint64_t First) {
  m_Current = First == 0 ? std::make_shared<ConfigState>() : nullptr;
  m_Held.clear();
  m_HeldBytes = 0;
  m_Start = First;
  m_Next = First;
}

RecordDecision
ConfigStateMachine::rejectStale(std::uint64_t Offset,
                                const ChangeHeader &Header) const {
  const ConfigVersion InEffect = currentVersion();
  return {Decision::Rejected, Offset, Header,
          "base " + std::to_string(Header.m_Base) +
              " is not the version in effect, " + std::to_string(InEffect),
          InEffect};
}

RecordDecision ConfigStateMachine::accept(std::uint64_t Offset,
                                          const ChangeHeader &Header,
                                          ConfigState State) {
  State.m_Version = Header.m_Base + 1;
  State.m_Offset = Offset + 1;
  m_Current = std::make_shared<const ConfigState>(std::move(State));
  adopt(m_Current);
  return {Decision::Accepted, Offset, Header, "", m_Current->m_Version};
}

RecordDecision ConfigStateMachine::decide(std::uint64_t Offset,
                                          const DocumentChange &Change) {
  if (Change.m_Header.m_Base != currentVersion())
    return rejectStale(Offset, Change.m_Header);
  DiagnosticList Diagnostics("document");
  auto Parsed = parseConfigDocument(Change.m_Document, Diagnostics);
  if (!Parsed)
    return {Decision::Rejected, Offset, Change.m_Header,
            "invalid document: " + describe(Diagnostics), currentVersion()};
  ConfigState State;
  State.m_PresetName = Parsed->m_Preset;
  State.m_Document = Change.m_Document;
  State.m_Configuration = std::move(Parsed->m_Configuration);
  return accept(Offset, Change.m_Header, std::move(State));
}

RecordDecision ConfigStateMachine::decide(std::uint64_t Offset,
                                          const PresetSwitch &Change) {
  if (Change.m_Header.m_Base != currentVersion())
    return rejectStale(Offset, Change.m_Header);
  if (m_Current->m_Configuration.m_Presets.count(Change.m_Preset) == 0)
    return {Decision::Rejected, Offset, Change.m_Header,
            "unknown preset \"" + Change.m_Preset + '"', currentVersion()};
  ConfigState State = *m_Current;
  State.m_PresetName = Change.m_Preset;
  return accept(Offset, Change.m_Header, std::move(State));
}

RecordDecision ConfigStateMachine::hold(std::uint64_t Offset,
                                        ConfigRecord Record,
                                        std::size_t Bytes) {
  RecordDecision Held{
      Decision::Held, Offset, {}, "the version before it is not known yet", 0};
  if (const auto *Change = std::get_if<DocumentChange>(&Record))
    Held.m_Header = Change->m_Header;
  else if (const auto *Switch = std::get_if<PresetSwitch>(&Record))
    Held.m_Header = Switch->m_Header;
  m_Held.push_back({Offset, std::move(Record), Bytes});
  m_HeldBytes += Bytes;
  while (m_HeldBytes > MaxHeldBytes) {
    m_HeldBytes -= m_Held.front().m_Bytes;
    m_Start = m_Held.front().m_Offset + 1;
    m_Held.pop_front();
  }
  return Held;
}

void ConfigStateMachine::start(ConfigStatePtr State, std::uint64_t Offset,
                               std::vector<RecordDecision> &HeldDecisions) {
  m_Current = std::move(State);
  adopt(m_Current);
  m_Next = std::max(m_Next, Offset);
  const auto Held = std::move(m_Held);
  m_Held.clear();
  m_HeldBytes = 0;
  for (const HeldRecord &Record : Held) {
    if (Record.m_Offset < Offset)
      continue;
    if (const auto *Change = std::get_if<DocumentChange>(&Record.m_Record))
      HeldDecisions.push_back(decide(Record.m_Offset, *Change));
    else if (const auto *Switch = std::get_if<PresetSwitch>(&Record.m_Record))
      HeldDecisions.push_back(decide(Record.m_Offset, *Switch));
  }
}

bool ConfigStateMachine::contradicts(const Snapshot &Record) const {
  if (!m_Adopted)
    return false;
  if (Record.m_Version == m_Adopted->m_Version)
    return Record.m_Preset != m_Adopted->m_PresetName ||
           Record.m_Document != m_Adopted->m_Document;
  return Record.m_Version < m_Adopted->m_Version &&
         Record.m_Offset >= m_Adopted->m_Offset;
}

RecordDecision
ConfigStateMachine::decideSnapshot(std::uint64_t Offset, const Snapshot &Record,
                                   std::vector<RecordDecision> &HeldDecisions) {
  if (Record.m_Offset > Offset || Record.m_Version == 0)
    return {
        Decision::Rejected,
        Offset,
        {},
        "the snapshot's offset is above the record's own or its version is 0",
        currentVersion()};
  if (contradicts(Record))
    return {Decision::Rejected,
            Offset,
            {},
            "the snapshot contradicts the adopted configuration",
            currentVersion()};
  m_NewestSnapshot = SnapshotPosition{Record.m_Version, Record.m_Offset};
  if (m_Current)
    return {Decision::Ignored,
            Offset,
            {},
            "the version in effect is known",
            currentVersion()};
  // Changes between the snapshot's offset and the first record read may have
  // been accepted but are not available.
  if (Record.m_Offset < m_Start)
    return {Decision::Ignored,
            Offset,
            {},
            "records after the snapshot's offset are missing",
            0};
  std::string Reason;
  auto State = makeState(Record.m_Version, Record.m_Offset, Record.m_Preset,
                         Record.m_Document, Reason);
  if (!State)
    return {Decision::Rejected, Offset, {}, Reason, 0};
  start(std::move(State), Record.m_Offset, HeldDecisions);
  return {Decision::Ignored,
          Offset,
          {},
          "the snapshot provides the version in effect",
          currentVersion()};
}

std::vector<RecordDecision>
ConfigStateMachine::consume(std::uint64_t Offset, const std::string &Text) {
  if (Offset < m_Next)
    return {{Decision::Ignored, Offset, {}, "already read", currentVersion()}};
  truncatedTo(Offset);
  m_Next = Offset + 1;
  std::string Reason;
  auto Record = parseConfigRecord(Text, Reason);
  if (!Record)
    return {{Decision::Rejected,
             Offset,
             {},
             "malformed record: " + Reason,
             currentVersion()}};
  std::vector<RecordDecision> Decisions;
  if (const auto *Seen = std::get_if<Snapshot>(&*Record)) {
    const RecordDecision Own = decideSnapshot(Offset, *Seen, Decisions);
    Decisions.push_back(Own);
  } else if (!m_Current) {
    Decisions.push_back(hold(Offset, std::move(*Record), Text.size()));
  } else if (const auto *Change = std::get_if<DocumentChange>(&*Record)) {
    Decisions.push_back(decide(Offset, *Change));
  } else {
    Decisions.push_back(decide(Offset, std::get<PresetSwitch>(*Record)));
  }
  return Decisions;
}

bool ConfigStateMachine::offer(const ConfigTransfer &Transfer,
                               std::string &Reason) {
  const ConfigVersion Held = m_Adopted ? m_Adopted->m_Version : 0;
  if (Transfer.m_Version <= Held) {
    Reason = "version " + std::to_string(Transfer.m_Version) +
             " is not above the version held, " + std::to_string(Held);
    return false;
  }
  if (m_Current && Transfer.m_Offset < m_Next) {
    Reason = "the log up to offset " + std::to_string(m_Next) +
             " has no such version";
    return false;
  }
  auto State = makeState(Transfer.m_Version, Transfer.m_Offset,
                         Transfer.m_Preset, Transfer.m_Document, Reason);
  if (!State)
    return false;
  // A state below m_Start can be served but not used to decide on changes:
  // later accepted changes may have been truncated from the log.
  std::vector<RecordDecision> HeldDecisions;
  if (Transfer.m_Offset >= m_Start)
    start(std::move(State), Transfer.m_Offset, HeldDecisions);
  else
    adopt(State);
  return true;
}

} // namespace cyclamencroft
