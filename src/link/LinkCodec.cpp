// Encoding writes CBOR directly. Decoding reads nlohmann-json's SAX events into
// a flat list of values and assigns these to the fields of MessageFields.h.
#include "link/LinkCodec.h"

#include "link/CborTokens.h"
#include "link/MessageFields.h"

#include <array>
#include <limits>
#include <optional>

namespace cyclamencroft {
namespace {

constexpr std::size_t MessageTypes = std::variant_size_v<LinkMessage>;

constexpr std::array<std::string_view, MessageTypes> MessageNames = {
    "AgentHello",  "EntryHello",     "Dispatch",        "TaskResult",
    "TaskRefused", "CancelTasks",    "Reconcile",       "ReconcileReply",
    "AgentStatus", "ConfigView",     "Heartbeat",       "Ping",
    "Pong",        "ConfigTransfer", "QuotaReport",     "Goodbye",
    "RunnerHello", "EndpointReport", "LoadReport",      "StartTask",
    "TaskEnded",   "StopJob",        "StopRun",         "EntryLease",
    "ConfigHeld",  "ConfigRequest",  "EvacuationReport"};

template <class T> struct IsVector : std::false_type {};
template <class T> struct IsVector<std::vector<T>> : std::true_type {};

/// Largest value of each enumeration that is sent over a link; larger ones are
/// rejected.
template <class E>
constexpr E
    LastValue = E(std::numeric_limits<std::underlying_type_t<E>>::max());
template <> constexpr Outcome LastValue<Outcome> = Outcome::Cancelled;
template <>
constexpr RefusalReason LastValue<RefusalReason> =
    RefusalReason::RetryBudgetSpent;
template <> constexpr AgentState LastValue<AgentState> = AgentState::Draining;
template <>
constexpr SequenceState LastValue<SequenceState> = SequenceState::Unknown;

template <> constexpr RunEnd LastValue<RunEnd> = RunEnd::NotStarted;
template <>
constexpr StartRefusal LastValue<StartRefusal> = StartRefusal::Evacuated;
template <>
constexpr EndpointState LastValue<EndpointState> = EndpointState::Evacuated;

struct FieldCounter {
  std::size_t m_Count = 0;
  template <class T> void operator()(const char *, const T &) { ++m_Count; }
};

template <class M> std::size_t fieldCount() {
  static const std::size_t Count = [] {
    const M Message{};
    FieldCounter Counter;
    FieldVisitor<FieldCounter>{Counter}(Message);
    return Counter.m_Count;
  }();
  return Count;
}

class FieldWriter {
public:
  explicit FieldWriter(std::string &Out) : m_Writer(Out) {}

  template <class M> void message(std::size_t Type, const M &Message) {
    m_Writer.array(fieldCount<M>() + 1);
    m_Writer.number(std::uint64_t(Type));
    FieldVisitor<FieldWriter>{*this}(Message);
  }

  template <class T> void operator()(const char *, const T &Field) {
    write(Field);
  }

private:
  template <class T> void write(const T &Field) {
    if constexpr (std::is_same_v<T, bool>) {
      m_Writer.boolean(Field);
    } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>) {
      m_Writer.number(static_cast<std::uint64_t>(Field));
    } else if constexpr (std::is_same_v<T, Duration>) {
      m_Writer.number(std::int64_t(Field.count()));
    } else if constexpr (std::is_same_v<T, TimePoint>) {
      write(Field.time_since_epoch());
    } else if constexpr (std::is_same_v<T, std::string>) {
      m_Writer.text(Field);
    } else if constexpr (std::is_same_v<T, Payload>) {
      m_Writer.bytes(bytesOf(Field));
    } else if constexpr (IsVector<T>::value) {
      m_Writer.array(Field.size());
      for (const auto &Element : Field)
        write(Element);
    } else {
      m_Writer.array(fieldCount<T>());
      FieldVisitor<FieldWriter>{*this}(Field);
    }
  }

  CborWriter m_Writer;
};

/// Reads typed fields from a list of values. Keeps the first error and ignores
/// everything after it.
class FieldReader {
public:
  explicit FieldReader(std::vector<CborToken> Tokens)
      : m_Tokens(std::move(Tokens)) {}

  std::vector<LinkMessage> frame() {
    std::vector<LinkMessage> Messages;
    m_FieldName = "frame";
    const std::size_t Count = array();
    Messages.reserve(std::min(Count, m_Tokens.size()));
    for (std::size_t I = 0; I < Count && m_Fault.empty(); ++I) {
      m_MessageIndex = I;
      Messages.push_back(message());
    }
    return Messages;
  }

  const std::string &fault() const { return m_Fault; }

  template <class T> void operator()(const char *Name, T &Field) {
    m_FieldName = Name;
    read(Field);
  }

private:
  LinkMessage message() {
    m_MessageName = "message";
    m_FieldName = "type number";
    const std::size_t Elements = array();
    std::uint64_t Type = 0;
    if (Elements == 0)
      fail("message without a type number");
    else
      Type = number(MessageTypes - 1);
    LinkMessage Message;
    if (m_Fault.empty())
      readType(Type, Elements - 1, Message,
               std::make_index_sequence<MessageTypes>());
    return Message;
  }

  template <std::size_t... I>
  void readType(std::uint64_t Type, std::size_t Fields, LinkMessage &Message,
                std::index_sequence<I...>) {
    ((Type == I ? fields(Fields, Message.emplace<I>()) : void()), ...);
  }

  template <class M> void fields(std::size_t Fields, M &Message) {
    m_MessageName = MessageNames[LinkMessage(M{}).index()];
    if (!expectProtocol(Message) || !expectCount(Fields, fieldCount<M>()))
      return;
    FieldVisitor<FieldReader>{*this}(Message);
  }

  /// A hello of another version may have other fields, so its version is
  /// checked before them.
  template <class M> bool expectProtocol(const M &) {
    if constexpr (std::is_same_v<M, AgentHello> ||
                  std::is_same_v<M, EntryHello> ||
                  std::is_same_v<M, RunnerHello>) {
      if (m_Next == m_Tokens.size() ||
          m_Tokens[m_Next].m_Kind != CborToken::Kind::Unsigned ||
          m_Tokens[m_Next].m_Number == ProtocolVersion)
        return true;
      m_FieldName = "protocol";
      fail("version " + std::to_string(m_Tokens[m_Next].m_Number) +
           " is not supported; this process speaks version " +
           std::to_string(ProtocolVersion));
      return false;
    }
    return true;
  }

  bool expectCount(std::size_t Found, std::size_t Expected) {
    if (Found == Expected)
      return true;
    fail("has " + std::to_string(Found) + " fields, expected " +
         std::to_string(Expected));
    return false;
  }

  template <class T> void read(T &Field) {
    if constexpr (std::is_same_v<T, bool>) {
      Field = next(CborToken::Kind::Bool).m_Number != 0;
    } else if constexpr (std::is_enum_v<T>) {
      using Number = std::underlying_type_t<T>;
      Field = T(number(static_cast<Number>(LastValue<T>)));
    } else if constexpr (std::is_integral_v<T>) {
      Field = static_cast<T>(number(std::numeric_limits<T>::max()));
    } else if constexpr (std::is_same_v<T, Duration>) {
      Field = Duration(signedNumber());
    } else if constexpr (std::is_same_v<T, TimePoint>) {
      Field = TimePoint(Duration(signedNumber()));
    } else if constexpr (std::is_same_v<T, std::string>) {
      Field = std::move(next(CborToken::Kind::Text).m_Text);
    } else if constexpr (std::is_same_v<T, Payload>) {
      Field = makePayload(std::move(next(CborToken::Kind::Bytes).m_Text));
    } else if constexpr (IsVector<T>::value) {
      readList(Field);
    } else if (expectCount(array(), fieldCount<T>())) {
      FieldVisitor<FieldReader>{*this}(Field);
    }
  }

  template <class T> void readList(std::vector<T> &List) {
    const std::size_t Count = array();
    // Every element takes at least one value, which bounds the reservation.
    List.reserve(std::min(Count, m_Tokens.size()));
    for (std::size_t I = 0; I < Count && m_Fault.empty(); ++I)
      read(List.emplace_back());
  }

  std::size_t array() { return next(CborToken::Kind::Array).m_Number; }

  std::uint64_t number(std::uint64_t Max) {
    const std::uint64_t Value = next(CborToken::Kind::Unsigned).m_Number;
    if (Value <= Max)
      return Value;
    fail("value " + std::to_string(Value) + " is above the limit of " +
         std::to_string(Max));
    return 0;
  }

  std::int64_t signedNumber() {
    if (m_Next < m_Tokens.size() &&
        m_Tokens[m_Next].m_Kind == CborToken::Kind::Negative)
      return static_cast<std::int64_t>(m_Tokens[m_Next++].m_Number);
    return static_cast<std::int64_t>(
        number(std::numeric_limits<std::int64_t>::max()));
  }

  CborToken &next(CborToken::Kind Kind) {
    if (m_Fault.empty() && m_Next == m_Tokens.size())
      fail("missing");
    if (m_Fault.empty() && m_Tokens[m_Next].m_Kind != Kind)
      fail("expected " + std::string(toString(Kind)) + ", found " +
           std::string(toString(m_Tokens[m_Next].m_Kind)));
    if (m_Fault.empty())
      return m_Tokens[m_Next++];
    m_Placeholder = CborToken();
    return m_Placeholder;
  }

  void fail(const std::string &Reason) {
    if (!m_Fault.empty())
      return;
    m_Fault = "message " + std::to_string(m_MessageIndex) + " (" +
              std::string(m_MessageName) + "), " + m_FieldName + ": " + Reason;
  }

  std::vector<CborToken> m_Tokens;
  std::size_t m_Next = 0;
  std::size_t m_MessageIndex = 0;
  std::string_view m_MessageName = "frame";
  const char *m_FieldName = "";
  std::string m_Fault;
  /// Returned instead of a value after an error.
  CborToken m_Placeholder;
};

} // namespace

std::string_view messageName(const LinkMessage &Message) {
  return MessageNames[Message.index()];
}

std::string encodeFrame(boost::span<const LinkMessage> Messages) {
  std::string Out;
  // A dispatch with a body of 100 bytes takes about 170 bytes.
  constexpr std::size_t UsualMessageBytes = 192;
  Out.reserve(Messages.size() * UsualMessageBytes);
  CborWriter(Out).array(Messages.size());
  FieldWriter Writer(Out);
  for (const LinkMessage &Message : Messages)
    std::visit(
        [&](const auto &Typed) { Writer.message(Message.index(), Typed); },
        Message);
  return Out;
}

Result<std::vector<LinkMessage>> decodeFrame(std::string_view Frame) {
  if (Frame.size() > MaxFrameBytes)
    return failure("decode frame", "",
                   "frame of " + std::to_string(Frame.size()) +
                       " bytes is above the limit of " +
                       std::to_string(MaxFrameBytes));
  BOOST_LEAF_AUTO(Tokens, readCborTokens(Frame));
  FieldReader Reader(std::move(Tokens));
  std::vector<LinkMessage> Messages = Reader.frame();
  if (!Reader.fault().empty())
    return failure("decode frame", "", Reader.fault());
  return Messages;
}

} // namespace cyclamencroft
