// A change is accepted if and only if its base is the version in effect at its
// position and the result is valid. While that version is not known, changes
// are held until a snapshot tells it.
#include "config/ConfigJudge.h"

#include "config/ConfigDocument.h"

#include <algorithm>

namespace cyclamencroft {
namespace {

/// Bound on the text of held changes; an entry may use 32 MB in all. Beyond
/// it the oldest are dropped, which only rules out snapshots below them.
constexpr std::size_t LargestHeld = std::size_t{8} * 1024 * 1024;

/// The faults as one sentence for logs and operators.
std::string describe(const FaultList &Faults) {
  std::string Text;
  for (const std::string &Fault : Faults.faults())
    Text += (Text.empty() ? "" : "; ") + Fault;
  return Text;
}

/// Null with \p Reason when the document or preset is not valid.
std::shared_ptr<ConfigState> makeState(ConfigVersion Version,
                                       std::uint64_t Offset,
                                       const std::string &PresetName,
                                       const std::string &Document,
                                       std::string &Reason) {
  FaultList Faults("document");
  auto Parsed = parseConfigDocument(Document, Faults);
  if (!Parsed) {
    Reason = "invalid document: " + describe(Faults);
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

ConfigJudge::ConfigJudge() : m_Current(std::make_shared<ConfigState>()) {}

ConfigVersion ConfigJudge::currentVersion() const {
  return m_Current ? m_Current->m_Version : 0;
}

void ConfigJudge::adopt(const ConfigStatePtr &State) {
  const ConfigVersion Held = m_Adopted ? m_Adopted->m_Version : 0;
  if (State->m_Version > Held)
    m_Adopted = State;
}

Snapshot ConfigJudge::makeSnapshot() const {
  return {m_Current->m_Version, m_Next, m_Current->m_PresetName,
          m_Current->m_Document};
}

void ConfigJudge::truncatedTo(std::uint64_t First) {
  if (First > m_Next)
    restartAt(First);
}

void ConfigJudge::restartAt(std::uint64_t First) {
  m_Current = First == 0 ? std::make_shared<ConfigState>() : nullptr;
  m_Held.clear();
  m_HeldBytes = 0;
  m_Start = First;
  m_Next = First;
}

Judgement ConfigJudge::rejectStale(std::uint64_t Offset,
                                   const ChangeHeader &Header) const {
  const ConfigVersion InEffect = currentVersion();
  return {Decision::Rejected, Offset, Header,
          "base " + std::to_string(Header.m_Base) +
              " is not the version in effect, " + std::to_string(InEffect),
          InEffect};
}

Judgement ConfigJudge::accept(std::uint64_t Offset, const ChangeHeader &Header,
                              ConfigState State) {
  State.m_Version = Header.m_Base + 1;
  State.m_Offset = Offset + 1;
  m_Current = std::make_shared<const ConfigState>(std::move(State));
  adopt(m_Current);
  return {Decision::Accepted, Offset, Header, "", m_Current->m_Version};
}

Judgement ConfigJudge::judge(std::uint64_t Offset,
                             const DocumentChange &Change) {
  if (Change.m_Header.m_Base != currentVersion())
    return rejectStale(Offset, Change.m_Header);
  FaultList Faults("document");
  auto Parsed = parseConfigDocument(Change.m_Document, Faults);
  if (!Parsed)
    return {Decision::Rejected, Offset, Change.m_Header,
            "invalid document: " + describe(Faults), currentVersion()};
  ConfigState State;
  State.m_PresetName = Parsed->m_Preset;
  State.m_Document = Change.m_Document;
  State.m_Configuration = std::move(Parsed->m_Configuration);
  return accept(Offset, Change.m_Header, std::move(State));
}

Judgement ConfigJudge::judge(std::uint64_t Offset, const PresetSwitch &Change) {
  if (Change.m_Header.m_Base != currentVersion())
    return rejectStale(Offset, Change.m_Header);
  if (m_Current->m_Configuration.m_Presets.count(Change.m_Preset) == 0)
    return {Decision::Rejected, Offset, Change.m_Header,
            "unknown preset \"" + Change.m_Preset + '"', currentVersion()};
  ConfigState State = *m_Current;
  State.m_PresetName = Change.m_Preset;
  return accept(Offset, Change.m_Header, std::move(State));
}

Judgement ConfigJudge::hold(std::uint64_t Offset, ConfigRecord Record,
                            std::size_t Bytes) {
  Judgement Held{
      Decision::Held, Offset, {}, "the version before it is not known yet", 0};
  if (const auto *Change = std::get_if<DocumentChange>(&Record))
    Held.m_Header = Change->m_Header;
  else if (const auto *Switch = std::get_if<PresetSwitch>(&Record))
    Held.m_Header = Switch->m_Header;
  m_Held.push_back({Offset, std::move(Record), Bytes});
  m_HeldBytes += Bytes;
  while (m_HeldBytes > LargestHeld) {
    m_HeldBytes -= m_Held.front().m_Bytes;
    m_Start = m_Held.front().m_Offset + 1;
    m_Held.pop_front();
  }
  return Held;
}

void ConfigJudge::start(ConfigStatePtr State, std::uint64_t Offset,
                        std::vector<Judgement> &Settled) {
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
      Settled.push_back(judge(Record.m_Offset, *Change));
    else if (const auto *Switch = std::get_if<PresetSwitch>(&Record.m_Record))
      Settled.push_back(judge(Record.m_Offset, *Switch));
  }
}

bool ConfigJudge::contradicts(const Snapshot &Record) const {
  if (!m_Adopted)
    return false;
  if (Record.m_Version == m_Adopted->m_Version)
    return Record.m_Preset != m_Adopted->m_PresetName ||
           Record.m_Document != m_Adopted->m_Document;
  return Record.m_Version < m_Adopted->m_Version &&
         Record.m_Offset >= m_Adopted->m_Offset;
}

Judgement ConfigJudge::judgeSnapshot(std::uint64_t Offset,
                                     const Snapshot &Record,
                                     std::vector<Judgement> &Settled) {
  if (Record.m_Offset > Offset || Record.m_Version == 0)
    return {Decision::Rejected,
            Offset,
            {},
            "the snapshot claims to hold past its own offset or has version 0",
            currentVersion()};
  if (contradicts(Record))
    return {Decision::Rejected,
            Offset,
            {},
            "the snapshot contradicts what was read",
            currentVersion()};
  m_NewestSnapshot = SnapshotSeen{Record.m_Version, Record.m_Offset};
  if (m_Current)
    return {Decision::Ignored,
            Offset,
            {},
            "the version in effect is known",
            currentVersion()};
  // Changes between the snapshot's offset and the first record read could
  // have been accepted without being seen.
  if (Record.m_Offset < m_Start)
    return {Decision::Ignored,
            Offset,
            {},
            "records after the snapshot's offset are gone",
            0};
  std::string Reason;
  auto State = makeState(Record.m_Version, Record.m_Offset, Record.m_Preset,
                         Record.m_Document, Reason);
  if (!State)
    return {Decision::Rejected, Offset, {}, Reason, 0};
  start(std::move(State), Record.m_Offset, Settled);
  return {Decision::Ignored,
          Offset,
          {},
          "the snapshot tells the version",
          currentVersion()};
}

std::vector<Judgement> ConfigJudge::consume(std::uint64_t Offset,
                                            const std::string &Text) {
  if (Offset < m_Next)
    return {{Decision::Ignored, Offset, {}, "read before", currentVersion()}};
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
  std::vector<Judgement> Decisions;
  if (const auto *Seen = std::get_if<Snapshot>(&*Record)) {
    const Judgement Own = judgeSnapshot(Offset, *Seen, Decisions);
    Decisions.push_back(Own);
  } else if (!m_Current) {
    Decisions.push_back(hold(Offset, std::move(*Record), Text.size()));
  } else if (const auto *Change = std::get_if<DocumentChange>(&*Record)) {
    Decisions.push_back(judge(Offset, *Change));
  } else {
    Decisions.push_back(judge(Offset, std::get<PresetSwitch>(*Record)));
  }
  return Decisions;
}

bool ConfigJudge::offer(const ConfigTransfer &Transfer, std::string &Reason) {
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
  // Below m_Start the state can be served, but later changes that are gone
  // from the log could follow it, so it is no basis for decisions.
  std::vector<Judgement> Settled;
  if (Transfer.m_Offset >= m_Start)
    start(std::move(State), Transfer.m_Offset, Settled);
  else
    adopt(State);
  return true;
}

} // namespace cyclamencroft
