// Reads the subset of CBOR that links use into a flat list of values, with
// nlohmann-json's SAX reader, and writes that subset.
#pragma once

#include "core/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

struct CborToken {
  enum class Kind : std::uint8_t {
    Unsigned,
    Negative,
    Bool,
    Text,
    Bytes,
    Array
  };
  Kind m_Kind = Kind::Unsigned;
  /// Value of a number or Bool; number of elements that follow an Array.
  std::uint64_t m_Number = 0;
  std::string m_Text;
};

/// Name of a kind for error messages.
std::string_view toString(CborToken::Kind Kind);

/// Arrays nested deeper than this are rejected. The levels of the deepest frame
/// are frame, message, list, end of a run, run, task and job.
constexpr unsigned MaxCborDepth = 7;

/// Fails on anything but whole numbers, booleans, text, byte strings and arrays
/// of definite length, and on truncated input or bytes after the first value.
Result<std::vector<CborToken>> readCborTokens(std::string_view Bytes);

/// Appends single CBOR values.
class CborWriter {
public:
  explicit CborWriter(std::string &Out) : m_Out(Out) {}
  void array(std::size_t Size) { head(4, Size); }
  void number(std::uint64_t Value) { head(0, Value); }
  void number(std::int64_t Value);
  void boolean(bool Value) { m_Out.push_back(Value ? '\xf5' : '\xf4'); }
  void text(std::string_view Value);
  void bytes(std::string_view Value);

private:
  /// Writes the initial byte of a major type, and its argument in the shortest
  /// form.
  void head(unsigned Major, std::uint64_t Argument);

  std::string &m_Out;
};

} // namespace cyclamencroft
