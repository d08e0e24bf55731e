// A lost reply leaves open whether the append took effect, also later. The
// base settles it: once another change made the next version, the lost one
// can't be accepted any more.
#include "cli/ConfigPublisher.h"

#include "config/LogProtocol.h"
#include "core/Ids.h"

#include <random>
#include <thread>

namespace cyclamencroft {
namespace {

constexpr std::chrono::milliseconds RetryPause{100};
/// Wait of one read while looking for the change.
constexpr std::chrono::milliseconds ReadBackWait{1000};

std::string drawChangeId() {
  std::random_device Source;
  std::uniform_int_distribution<std::uint64_t> Draw;
  return RequestId{Draw(Source), Draw(Source)}.toHex();
}

ChangeHeader &headerOf(ConfigRecord &Change) {
  if (auto *Document = std::get_if<DocumentChange>(&Change))
    return Document->m_Header;
  return std::get<PresetSwitch>(Change).m_Header;
}

/// "version 5, made by jeanne (change 3f...)".
std::string describeMaker(const StreamReader &Reader, ConfigVersion Version) {
  std::string Text = "version " + std::to_string(Version);
  if (const Judgement *Maker = Reader.makerOf(Version))
    Text += ", made by " + Maker->m_Header.m_Author + " (change " +
            Maker->m_Header.m_ChangeId + ')';
  return Text;
}

PublishOutcome lostRace(const StreamReader &Reader, ConfigVersion Base,
                        const std::string &ChangeId) {
  const ConfigVersion InEffect = Reader.judge().currentVersion();
  // The winner is the change that took the version this one was for.
  return {PublishEnd::LostRace, InEffect, ChangeId,
          "lost the race: base " + std::to_string(Base) + " was replaced by " +
              describeMaker(Reader, Base + 1) + "; in effect is version " +
              std::to_string(InEffect)};
}

PublishOutcome describeDecision(const StreamReader &Reader,
                                const Judgement &Decided) {
  const ChangeHeader &Header = Decided.m_Header;
  if (Decided.m_Decision == Decision::Accepted)
    return {PublishEnd::Accepted, Decided.m_Version, Header.m_ChangeId,
            "accepted as version " + std::to_string(Decided.m_Version)};
  if (Decided.m_Version != Header.m_Base)
    return lostRace(Reader, Header.m_Base, Header.m_ChangeId);
  return {PublishEnd::Rejected, Decided.m_Version, Header.m_ChangeId,
          "rejected: " + Decided.m_Reason};
}

/// Checks before anything is sent; nothing when the change may be appended.
std::optional<PublishOutcome> refuse(const PublishRequest &Request,
                                     const StreamReader &Reader,
                                     const ChangeHeader &Header) {
  const ConfigJudge &Judge = Reader.judge();
  if (!Judge.isCurrent())
    return PublishOutcome{PublishEnd::NotReachable, 0, "",
                          "the version in effect is not known: the log is "
                          "truncated and has no usable snapshot yet"};
  const ConfigVersion InEffect = Judge.currentVersion();
  if (Header.m_Base > InEffect)
    return PublishOutcome{PublishEnd::Rejected, InEffect, "",
                          "base " + std::to_string(Header.m_Base) +
                              " is above the version in effect, " +
                              std::to_string(InEffect)};
  if (Header.m_Base < InEffect)
    return lostRace(Reader, Header.m_Base, "");
  const auto *Switch = std::get_if<PresetSwitch>(&Request.m_Change);
  const ConfigStatePtr State = Judge.adopted();
  if (Switch &&
      (!State || State->m_Configuration.m_Presets.count(Switch->m_Preset) == 0))
    return PublishOutcome{PublishEnd::Rejected, InEffect, "",
                          "unknown preset \"" + Switch->m_Preset + '"'};
  return std::nullopt;
}

/// Reads until the change is decided or \p Deadline.
PublishOutcome readBack(StreamReader &Reader, const ChangeHeader &Header,
                        const std::string &Appended, TimePoint Deadline) {
  std::string Trouble;
  while (RuntimeClock::now() < Deadline) {
    const auto Fault = Reader.catchUp(ReadBackWait);
    if (const Judgement *Decided = Reader.decisionOn(Header.m_ChangeId))
      return describeDecision(Reader, *Decided);
    // The next version was made without this change being seen in the log, so
    // it can only be rejected if it ever arrives there.
    if (Reader.makerOf(Header.m_Base + 1))
      return lostRace(Reader, Header.m_Base, Header.m_ChangeId);
    Trouble = Fault ? "; " + Fault->describe() : "";
    if (Fault)
      std::this_thread::sleep_for(RetryPause);
  }
  return {PublishEnd::Unknown, Reader.judge().currentVersion(),
          Header.m_ChangeId,
          "unknown outcome: change " + Header.m_ChangeId +
              " was not found up to offset " +
              std::to_string(Reader.judge().nextOffset()) + " (" + Appended +
              Trouble +
              "); it takes effect or not, look at it again with "
              "config show"};
}

} // namespace

StreamReader::StreamReader(std::string LogAddress)
    : m_LogAddress(std::move(LogAddress)) {}

std::optional<Error> StreamReader::catchUp(Duration Wait) {
  do {
    const LogRead Asked = m_Follower.nextRead();
    const auto Outcome = parseLogRead(
        m_LogAddress, httpCallOutcome(makeLogRead(m_LogAddress, Asked, Wait)));
    if (const auto *Fault = std::get_if<Error>(&Outcome))
      return *Fault;
    if (const auto *Truncated = std::get_if<LogTruncated>(&Outcome)) {
      if (!m_Follower.take(*Truncated, Asked))
        return Error{"read log", m_LogAddress,
                     "status 410 although the record is kept"};
      continue;
    }
    for (Judgement &Value : m_Follower.take(std::get<LogBatch>(Outcome)))
      m_Decisions.push_back(std::move(Value));
  } while (!m_Follower.isCaughtUp());
  return std::nullopt;
}

std::optional<Error> StreamReader::catchUpToVersion(Duration Longest) {
  const TimePoint Deadline = RuntimeClock::now() + Longest;
  auto Fault = catchUp();
  while (!Fault && !judge().isCurrent() && RuntimeClock::now() < Deadline)
    Fault = catchUp(ReadBackWait);
  return Fault;
}

const Judgement *StreamReader::decisionOn(const std::string &ChangeId) const {
  for (const Judgement &Value : m_Decisions)
    if (Value.m_Header.m_ChangeId == ChangeId &&
        Value.m_Decision != Decision::Held)
      return &Value;
  return nullptr;
}

const Judgement *StreamReader::makerOf(ConfigVersion Version) const {
  for (const Judgement &Value : m_Decisions)
    if (Value.m_Decision == Decision::Accepted && Value.m_Version == Version)
      return &Value;
  return nullptr;
}

PublishOutcome publish(const PublishRequest &Request) {
  StreamReader Reader(Request.m_LogAddress);
  if (const auto Fault = Reader.catchUpToVersion(Request.m_Patience))
    return {PublishEnd::NotReachable, 0, "", Fault->describe()};
  ConfigRecord Change = Request.m_Change;
  ChangeHeader &Header = headerOf(Change);
  Header = {drawChangeId(),
            Request.m_Base.value_or(Reader.judge().currentVersion()),
            Request.m_Author};
  if (const auto Refusal = refuse(Request, Reader, Header))
    return *Refusal;
  const TimePoint Sent = RuntimeClock::now();
  const auto Appended =
      parseLogAppend(Request.m_LogAddress,
                     httpCallOutcome(makeLogAppend(
                         Request.m_LogAddress, formatConfigRecord(Change))));
  std::string Note = "the log confirmed the append";
  if (const auto *Fault = std::get_if<Error>(&Appended)) {
    if (Fault->m_Step == "connect")
      return {PublishEnd::NotReachable, Reader.judge().currentVersion(), "",
              Fault->describe()};
    Note = Fault->describe();
  }
  return readBack(Reader, Header, Note, Sent + Request.m_Patience);
}

} // namespace cyclamencroft
