// A TOML document as a flat list of values with line numbers. Only the
// implementation file depends on toml++.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// A table without keys, such as "[name]" with nothing after it.
struct EmptyTable {};
/// A value of a type that no key accepts, such as a date or a list of numbers.
struct OtherValue {};

using KeyValue = std::variant<OtherValue, EmptyTable, std::string, bool,
                              std::int64_t, double, std::vector<std::string>>;

struct DocumentValue {
  /// Names of the enclosing tables, outermost first, then the key.
  std::vector<std::string> m_Path;
  std::uint32_t m_Line = 0;
  KeyValue m_Value;
  /// The value as TOML text on one line, shortened when long.
  std::string m_ValueText;
};

/// Joins the parts of \p Path from index \p Depth on with dots. Parts that are
/// not bare keys in TOML are quoted.
std::string joinPath(const std::vector<std::string> &Path,
                     std::size_t Depth = 0);

/// Collects the diagnostics of one document.
class DiagnosticList {
public:
  /// Each message starts with \p File.
  explicit DiagnosticList(std::string File) : m_File(std::move(File)) {}

  /// "file:line: key = value: what would be valid".
  void add(const DocumentValue &Value, const std::string &Valid);
  /// "file: key is missing: what would be valid".
  void addMissing(const std::string &Key, const std::string &Valid);
  /// "file: text" when \p Line is 0, otherwise "file:line: text".
  void addText(std::uint32_t Line, const std::string &Text);

  bool empty() const { return m_Faults.empty(); }
  const std::vector<std::string> &faults() const { return m_Faults; }

private:
  std::string m_File;
  std::vector<std::string> m_Faults;
};

/// Returns the values of \p Text ordered by line. A syntax error is added to
/// \p Diagnostics; the result is then empty.
std::vector<DocumentValue> parseToml(const std::string &Text,
                                     DiagnosticList &Diagnostics);

/// Returns the content of \p File. Adds a fault when the file can't be read or
/// is larger than 1 MiB.
std::string readTextFile(const std::string &File, DiagnosticList &Diagnostics);

} // namespace cyclamencroft
