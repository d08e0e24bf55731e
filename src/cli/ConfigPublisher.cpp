// After a lost reply it is unknown whether the append took effect or still
// will. The base version resolves this: once another change has been accepted
// as version base + 1, the lost one can't be accepted any more.
#include "cli/ConfigPublisher.h"

#include "config/LogProtocol.h"
#include "core/Ids.h"

#include <random>
#include <thread>

namespace cyclamencroft {
namespace {

constexpr std::chrono::milliseconds RetryPause{100};
/// Long-poll time of one read while waiting for the decision on the change.
constexpr std::chrono::milliseconds ReadBackWait{1000};

std::string generateChangeId() {
  std::random_device Source;
  std::uniform_int_distribution<std::uint64_t> Distribution;
  return RequestId{Distribution(Source), Distribution(Source)}.toHex();
}

ChangeHeader &headerOf(ConfigRecord &Change) {
  if (auto *Document = std::get_if<DocumentChange>(&Change))
    return Document->m_Header;
  return std::get<PresetSwitch>(Change).m_Header;
}

/// For example "version 5, made by jeanne (change 3f...)"; only the version
/// when its change was not read.
std::string describeVersion(const StreamReader &Reader, ConfigVersion Version) {
  std::string Text = "version " + std::to_string(Version);
  if (const RecordDecision *VersionChange = Reader.acceptedChange(Version))
    Text += ", made by " + VersionChange->m_Header.m_Author + " (change " +
            VersionChange->m_Header.m_ChangeId + ')';
  return Text;
}

PublishOutcome lostRace(const StreamReader &Reader, ConfigVersion Base,
                        const std::string &ChangeId) {
  const ConfigVersion InEffect = Reader.stateMachine().currentVersion();
  // The change accepted as version base + 1 superseded this one.
  return {PublishStatus::LostRace, InEffect, ChangeId,
          "lost the race: base " + std::to_string(Base) + " was replaced by " +
              describeVersion(Reader, Base + 1) + "; in effect is version " +
              std::to_string(InEffect)};
}

PublishOutcome describeDecision(const StreamReader &Reader,
                                const RecordDecision &Decided) {
  const ChangeHeader &Header = Decided.m_Header;
  if (Decided.m_Decision == Decision::Accepted)
    return {PublishStatus::Accepted, Decided.m_Version, Header.m_ChangeId,
            "accepted as version " + std::to_string(Decided.m_Version)};
  if (Decided.m_Version != Header.m_Base)
    return lostRace(Reader, Header.m_Base, Header.m_ChangeId);
  return {PublishStatus::Rejected, Decided.m_Version, Header.m_ChangeId,
          "rejected: " + Decided.m_Reason};
}

/// Validates the change before the append; nothing when it may be appended.
std::optional<PublishOutcome> checkBeforeAppend(const PublishRequest &Request,
                                                const StreamReader &Reader,
                                                const ChangeHeader &Header) {
  const ConfigStateMachine &StateMachine = Reader.stateMachine();
  if (!StateMachine.isCurrent())
    return PublishOutcome{PublishStatus::NotReachable, 0, "",
                          "the version in effect is not known: the log is "
                          "truncated and has no usable snapshot yet"};
  const ConfigVersion InEffect = StateMachine.currentVersion();
  if (Header.m_Base > InEffect)
    return PublishOutcome{PublishStatus::Rejected, InEffect, "",
                          "base " + std::to_string(Header.m_Base) +
                              " is above the version in effect, " +
                              std::to_string(InEffect)};
  if (Header.m_Base < InEffect)
    return lostRace(Reader, Header.m_Base, "");
  const auto *Switch = std::get_if<PresetSwitch>(&Request.m_Change);
  const ConfigStatePtr State = StateMachine.adopted();
  if (Switch &&
      (!State || State->m_Configuration.m_Presets.count(Switch->m_Preset) == 0))
    return PublishOutcome{PublishStatus::Rejected, InEffect, "",
                          "unknown preset \"" + Switch->m_Preset + '"'};
  return std::nullopt;
}

/// Reads the log until the change is decided or \p Deadline has passed.
PublishOutcome waitForDecision(StreamReader &Reader, const ChangeHeader &Header,
                               const std::string &Appended,
                               TimePoint Deadline) {
  std::string ReadError;
  while (RuntimeClock::now() < Deadline) {
    const auto Fault = Reader.catchUp(ReadBackWait);
    if (const RecordDecision *Decided = Reader.decisionOn(Header.m_ChangeId))
      return describeDecision(Reader, *Decided);
    // Another change was accepted as version base + 1, so this one is rejected
    // if it is appended later.
    if (Reader.acceptedChange(Header.m_Base + 1))
      return lostRace(Reader, Header.m_Base, Header.m_ChangeId);
    ReadError = Fault ? "; " + Fault->describe() : "";
    if (Fault)
      std::this_thread::sleep_for(RetryPause);
  }
  return {PublishStatus::Unknown, Reader.stateMachine().currentVersion(),
          Header.m_ChangeId,
          "unknown outcome: change " + Header.m_ChangeId +
              " was not found up to offset " +
              std::to_string(Reader.stateMachine().nextOffset()) + " (" +
              Appended + ReadError +
              "); it takes effect or not, look at it again with "
              "config show"};
}

} // namespace

StreamReader::StreamReader(std::string LogAddress)
    : m_LogAddress(std::move(LogAddress)) {}

std::optional<Error> StreamReader::catchUp(Duration Wait) {
  do {
    const LogRead ReadRequest = m_Follower.nextRead();
    const auto Outcome = parseLogRead(
        m_LogAddress,
        httpCallOutcome(makeLogRead(m_LogAddress, ReadRequest, Wait)));
    if (const auto *Fault = std::get_if<Error>(&Outcome))
      return *Fault;
    if (const auto *Truncated = std::get_if<LogTruncated>(&Outcome)) {
      if (!m_Follower.process(*Truncated, ReadRequest))
        return Error{"read log", m_LogAddress,
                     "status 410 although the record is kept"};
      continue;
    }
    for (RecordDecision &Value :
         m_Follower.process(std::get<LogBatch>(Outcome)))
      m_Decisions.push_back(std::move(Value));
  } while (!m_Follower.isCaughtUp());
  return std::nullopt;
}

std::optional<Error> StreamReader::catchUpToVersion(Duration MaxWait) {
  const TimePoint Deadline = RuntimeClock::now() + MaxWait;
  auto Fault = catchUp();
  while (!Fault && !stateMachine().isCurrent() &&
         RuntimeClock::now() < Deadline)
    Fault = catchUp(ReadBackWait);
  return Fault;
}

const RecordDecision *
StreamReader::decisionOn(const std::string &ChangeId) const {
  for (const RecordDecision &Value : m_Decisions)
    if (Value.m_Header.m_ChangeId == ChangeId &&
        Value.m_Decision != Decision::Held)
      return &Value;
  return nullptr;
}

const RecordDecision *
StreamReader::acceptedChange(ConfigVersion Version) const {
  for (const RecordDecision &Value : m_Decisions)
    if (Value.m_Decision == Decision::Accepted && Value.m_Version == Version)
      return &Value;
  return nullptr;
}

PublishOutcome publish(const PublishRequest &Request) {
  StreamReader Reader(Request.m_LogAddress);
  if (const auto Fault = Reader.catchUpToVersion(Request.m_Timeout))
    return {PublishStatus::NotReachable, 0, "", Fault->describe()};
  ConfigRecord Change = Request.m_Change;
  ChangeHeader &Header = headerOf(Change);
  Header = {generateChangeId(),
            Request.m_Base.value_or(Reader.stateMachine().currentVersion()),
            Request.m_Author};
  if (const auto Refusal = checkBeforeAppend(Request, Reader, Header))
    return *Refusal;
  const TimePoint AppendStart = RuntimeClock::now();
  const auto Appended =
      parseLogAppend(Request.m_LogAddress,
                     httpCallOutcome(makeLogAppend(
                         Request.m_LogAddress, formatConfigRecord(Change))));
  std::string Note = "the log confirmed the append";
  if (const auto *Fault = std::get_if<Error>(&Appended)) {
    if (Fault->m_Step == ConnectStep)
      return {PublishStatus::NotReachable,
              Reader.stateMachine().currentVersion(), "", Fault->describe()};
    Note = Fault->describe();
  }
  return waitForDecision(Reader, Header, Note, AppendStart + Request.m_Timeout);
}

} // namespace cyclamencroft
