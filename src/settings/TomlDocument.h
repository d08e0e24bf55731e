// A TOML document as a flat list of values with their places. Keeps toml++
// behind one source file.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// A table without keys; written "[name]" with nothing after it.
struct EmptyTable {};
/// A type that no key takes, such as a date or a list of numbers.
struct OtherValue {};

using KeyValue = std::variant<OtherValue, EmptyTable, std::string, bool,
                              std::int64_t, double, std::vector<std::string>>;

struct DocumentValue {
  /// Tables from the outside in, then the key.
  std::vector<std::string> m_Path;
  std::uint32_t m_Line = 0;
  KeyValue m_Value;
  /// The value as TOML text on one line, shortened when long.
  std::string m_Shown;
};

/// Path from \p Depth on with dots; parts that TOML needs quoted are quoted.
std::string joinPath(const std::vector<std::string> &Path,
                     std::size_t Depth = 0);

/// Collects the faults of one document.
class FaultList {
public:
  /// \p File is the name that each fault starts with.
  explicit FaultList(std::string File) : m_File(std::move(File)) {}

  /// "file:line: key = value: what would be valid".
  void add(const DocumentValue &Value, const std::string &Valid);
  /// "file: key is missing: what would be valid".
  void addMissing(const std::string &Key, const std::string &Valid);
  /// "file: text" or, with a line, "file:line: text".
  void addText(std::uint32_t Line, const std::string &Text);

  bool empty() const { return m_Faults.empty(); }
  const std::vector<std::string> &faults() const { return m_Faults; }

private:
  std::string m_File;
  std::vector<std::string> m_Faults;
};

/// Values of \p Text in order of their place. A syntax error is added to
/// \p Faults and yields no values.
std::vector<DocumentValue> parseToml(const std::string &Text,
                                     FaultList &Faults);

/// Content of \p File, at most 1 MiB; adds a fault when it can't be read.
std::string readTextFile(const std::string &File, FaultList &Faults);

} // namespace cyclamencroft
