// The structure is checked in linear time before nlohmann-json's reader runs,
// because that reader recurses without limit on nested strings of indefinite
// length (4 MiB of 0x7f overflow the stack).
#include "link/CborTokens.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

// Major types and additional information of an initial byte (RFC 8949,
// section 3).
constexpr unsigned MajorUnsigned = 0;
constexpr unsigned MajorNegative = 1;
constexpr unsigned MajorBytes = 2;
constexpr unsigned MajorText = 3;
constexpr unsigned MajorArray = 4;
constexpr unsigned MajorSimple = 7;
constexpr unsigned LastInlineArgument = 23;
constexpr unsigned LastSizedArgument = 27;
constexpr unsigned SimpleFalse = 20;
constexpr unsigned SimpleTrue = 21;

/// Checks the heads of one value and its elements without recursion.
class StructureCheck {
public:
  explicit StructureCheck(std::string_view Bytes) : m_Bytes(Bytes) {}

  /// Empty when the bytes are exactly one valid value; else the error text.
  std::string run() {
    m_Remaining.push_back(1);
    while (!m_Remaining.empty()) {
      if (m_Remaining.back() == 0) {
        m_Remaining.pop_back();
        continue;
      }
      --m_Remaining.back();
      if (std::string Fault = checkValue(); !Fault.empty())
        return Fault + " at byte " + std::to_string(m_ValueStart);
    }
    if (m_Position != m_Bytes.size())
      return std::to_string(m_Bytes.size() - m_Position) +
             " bytes after the last message";
    return {};
  }

  /// Number of values that run() has read, elements of arrays included.
  std::size_t valueCount() const { return m_ValueCount; }

private:
  std::string checkValue() {
    m_ValueStart = m_Position;
    ++m_ValueCount;
    if (m_Position == m_Bytes.size())
      return "truncated";
    const auto Initial = static_cast<unsigned char>(m_Bytes[m_Position++]);
    const unsigned Major = Initial >> 5;
    const unsigned Info = Initial & 0x1f;
    if (Major == MajorSimple)
      return Info == SimpleFalse || Info == SimpleTrue
                 ? std::string()
                 : "value of a type that links do not use";
    if (Major > MajorArray)
      return "value of a type that links do not use";
    std::uint64_t Argument = Info;
    if (Info > LastSizedArgument)
      return "value of indefinite length";
    if (Info > LastInlineArgument && !readArgument(Info, Argument))
      return "truncated";
    return checkContents(Major, Argument);
  }

  bool readArgument(unsigned Info, std::uint64_t &Argument) {
    const std::size_t Size = std::size_t(1) << (Info - LastInlineArgument - 1);
    if (m_Bytes.size() - m_Position < Size)
      return false;
    Argument = 0;
    for (std::size_t I = 0; I < Size; ++I)
      Argument =
          Argument << 8 | static_cast<unsigned char>(m_Bytes[m_Position++]);
    return true;
  }

  std::string checkContents(unsigned Major, std::uint64_t Argument) {
    const std::size_t Left = m_Bytes.size() - m_Position;
    if (Major == MajorBytes || Major == MajorText) {
      if (Argument > Left)
        return "truncated string";
      m_Position += Argument;
    }
    if (Major == MajorArray) {
      // Every element takes at least one byte.
      if (Argument > Left)
        return "truncated array";
      if (m_Remaining.size() > MaxCborDepth)
        return "array nested too deeply";
      m_Remaining.push_back(Argument);
    }
    return {};
  }

  std::string_view m_Bytes;
  std::size_t m_Position = 0;
  std::size_t m_ValueStart = 0;
  std::size_t m_ValueCount = 0;
  /// Number of elements not read yet, for each open array; the first entry
  /// counts the frame itself.
  std::vector<std::uint64_t> m_Remaining;
};

/// Appends a token for each event of the reader. Returning false stops the
/// reader.
class TokenSink : public nlohmann::json_sax<Json> {
public:
  explicit TokenSink(std::vector<CborToken> &Tokens) : m_Tokens(Tokens) {}

  bool null() override { return rejectType(); }
  bool boolean(bool Value) override {
    return add(CborToken::Kind::Bool, Value ? 1 : 0);
  }
  bool number_integer(number_integer_t Value) override {
    return add(CborToken::Kind::Negative, static_cast<std::uint64_t>(Value));
  }
  bool number_unsigned(number_unsigned_t Value) override {
    return add(CborToken::Kind::Unsigned, Value);
  }
  bool number_float(number_float_t, const string_t &) override {
    return rejectType();
  }
  bool string(string_t &Value) override {
    add(CborToken::Kind::Text, 0);
    m_Tokens.back().m_Text = std::move(Value);
    return true;
  }
  bool binary(binary_t &Value) override {
    add(CborToken::Kind::Bytes, 0);
    m_Tokens.back().m_Text.assign(Value.begin(), Value.end());
    return true;
  }
  bool start_object(std::size_t) override { return rejectType(); }
  bool key(string_t &) override { return rejectType(); }
  bool end_object() override { return rejectType(); }
  bool start_array(std::size_t Elements) override {
    return add(CborToken::Kind::Array, Elements);
  }
  bool end_array() override { return true; }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &Fault) override {
    m_Fault = Fault.what();
    return false;
  }

  const std::string &fault() const { return m_Fault; }

private:
  bool add(CborToken::Kind Kind, std::uint64_t Number) {
    m_Tokens.emplace_back();
    m_Tokens.back().m_Kind = Kind;
    m_Tokens.back().m_Number = Number;
    return true;
  }
  bool rejectType() {
    m_Fault = "value of a type that links do not use";
    return false;
  }

  std::vector<CborToken> &m_Tokens;
  std::string m_Fault;
};

} // namespace

std::string_view toString(CborToken::Kind Kind) {
  switch (Kind) {
  case CborToken::Kind::Unsigned:
    return "an unsigned number";
  case CborToken::Kind::Negative:
    return "a negative number";
  case CborToken::Kind::Bool:
    return "a boolean";
  case CborToken::Kind::Text:
    return "text";
  case CborToken::Kind::Bytes:
    return "a byte string";
  case CborToken::Kind::Array:
    return "an array";
  }
  return "invalid";
}

Result<std::vector<CborToken>> readCborTokens(std::string_view Bytes) {
  StructureCheck Structure(Bytes);
  if (std::string Fault = Structure.run(); !Fault.empty())
    return failure("decode frame", "", "not a valid frame: " + Fault);
  std::vector<CborToken> Tokens;
  Tokens.reserve(Structure.valueCount());
  TokenSink Sink(Tokens);
  if (!Json::sax_parse(Bytes.begin(), Bytes.end(), &Sink,
                       Json::input_format_t::cbor))
    return failure("decode frame", "", "not a valid frame: " + Sink.fault());
  return Tokens;
}

void CborWriter::number(std::int64_t Value) {
  if (Value >= 0)
    return head(MajorUnsigned, static_cast<std::uint64_t>(Value));
  head(MajorNegative, ~static_cast<std::uint64_t>(Value));
}

void CborWriter::text(std::string_view Value) {
  head(MajorText, Value.size());
  m_Out.append(Value);
}

void CborWriter::bytes(std::string_view Value) {
  head(MajorBytes, Value.size());
  m_Out.append(Value);
}

void CborWriter::head(unsigned Major, std::uint64_t Argument) {
  const auto Type = static_cast<unsigned char>(Major << 5);
  if (Argument <= LastInlineArgument) {
    m_Out.push_back(static_cast<char>(Type | Argument));
    return;
  }
  unsigned SizeLog = 0;
  while (SizeLog < 3 && Argument >> (8U << SizeLog) != 0)
    ++SizeLog;
  m_Out.push_back(static_cast<char>(Type | (LastInlineArgument + 1 + SizeLog)));
  for (unsigned Shift = 8U << SizeLog; Shift != 0; Shift -= 8)
    m_Out.push_back(static_cast<char>(Argument >> (Shift - 8) & 0xff));
}

} // namespace cyclamencroft
