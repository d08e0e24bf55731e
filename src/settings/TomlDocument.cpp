// Parses TOML with toml++ and flattens it into values with line numbers.
#include "settings/TomlDocument.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace cyclamencroft {
namespace {

constexpr std::size_t MaxFileBytes = std::size_t{1024} * 1024;
/// Longer values are shortened to this length in fault messages.
constexpr std::size_t MaxValueTextLength = 80;

std::string formatValue(const toml::node &Node) {
  std::ostringstream Text;
  Node.visit([&Text](const auto &Value) { Text << Value; });
  std::string ValueText = Text.str();
  std::replace(ValueText.begin(), ValueText.end(), '\n', ' ');
  if (ValueText.size() > MaxValueTextLength)
    ValueText = ValueText.substr(0, MaxValueTextLength) + "...";
  return ValueText;
}

KeyValue listValue(const toml::array &Array) {
  std::vector<std::string> List;
  for (const toml::node &Element : Array) {
    const auto Text = Element.value_exact<std::string>();
    if (!Text)
      return OtherValue{};
    List.push_back(*Text);
  }
  return List;
}

KeyValue valueOf(const toml::node &Node) {
  if (Node.is_table())
    return EmptyTable{};
  if (const auto *Array = Node.as_array())
    return listValue(*Array);
  if (const auto Text = Node.value_exact<std::string>())
    return *Text;
  if (const auto Flag = Node.value_exact<bool>())
    return *Flag;
  if (const auto Whole = Node.value_exact<std::int64_t>())
    return *Whole;
  if (const auto Real = Node.value_exact<double>())
    return *Real;
  return OtherValue{};
}

void flatten(const toml::table &Table, std::vector<std::string> &Path,
             std::vector<DocumentValue> &Values) {
  for (const auto &[Key, Node] : Table) {
    Path.emplace_back(Key.str());
    const toml::table *Inner = Node.as_table();
    if (Inner && !Inner->empty())
      flatten(*Inner, Path, Values);
    else
      Values.push_back(
          {Path, Node.source().begin.line, valueOf(Node), formatValue(Node)});
    Path.pop_back();
  }
}

bool isBareKey(const std::string &Part) {
  return !Part.empty() && std::all_of(Part.begin(), Part.end(), [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '-' || C == '_';
  });
}

} // namespace

std::string joinPath(const std::vector<std::string> &Path, std::size_t Depth) {
  std::string Text;
  for (std::size_t I = Depth; I < Path.size(); ++I) {
    if (I > Depth)
      Text += '.';
    Text += isBareKey(Path[I]) ? Path[I] : '"' + Path[I] + '"';
  }
  return Text;
}

void DiagnosticList::add(const DocumentValue &Value, const std::string &Valid) {
  addText(Value.m_Line,
          joinPath(Value.m_Path) + " = " + Value.m_ValueText + ": " + Valid);
}

void DiagnosticList::addMissing(const std::string &Key,
                                const std::string &Valid) {
  addText(0, Key + " is missing: " + Valid);
}

void DiagnosticList::addText(std::uint32_t Line, const std::string &Text) {
  const std::string Location =
      Line == 0 ? m_File : m_File + ':' + std::to_string(Line);
  m_Faults.push_back(Location + ": " + Text);
}

std::vector<DocumentValue> parseToml(const std::string &Text,
                                     DiagnosticList &Diagnostics) {
  std::vector<DocumentValue> Values;
  try {
    const toml::table Table = toml::parse(Text);
    std::vector<std::string> Path;
    flatten(Table, Path, Values);
  } catch (const toml::parse_error &Fault) {
    Diagnostics.addText(Fault.source().begin.line,
                        "not valid TOML: " + std::string(Fault.description()));
    return {};
  }
  std::stable_sort(Values.begin(), Values.end(),
                   [](const DocumentValue &A, const DocumentValue &B) {
                     return A.m_Line < B.m_Line;
                   });
  return Values;
}

std::string readTextFile(const std::string &File, DiagnosticList &Diagnostics) {
  std::ifstream Input(File, std::ios::binary);
  std::string Text(MaxFileBytes + 1, '\0');
  Input.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(Input.gcount()));
  if (!Input.is_open() || Input.bad())
    Diagnostics.addText(0, "the file can't be read");
  if (Text.size() > MaxFileBytes)
    Diagnostics.addText(0, "the file is larger than 1 MiB");
  return Text;
}

} // namespace cyclamencroft
