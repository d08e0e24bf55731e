// Formats key tables for the reference and for fault messages.
#include "settings/KeyTable.h"

#include <algorithm>
#include <sstream>

namespace cyclamencroft {
namespace {

std::string cell(const std::string &Text) { return Text.empty() ? "-" : Text; }

} // namespace

std::string formatNumber(double Value) {
  std::ostringstream Text;
  Text.precision(12);
  Text << Value;
  return Text.str();
}

std::string markdownTable(boost::span<const KeyDescription> Keys) {
  std::string Text = "| key | type | unit | default | limits | meaning |\n"
                     "|---|---|---|---|---|---|\n";
  for (const KeyDescription &Key : Keys)
    Text += "| `" + Key.m_Name + "` | " + Key.m_Type + " | " +
            cell(Key.m_Unit) + " | " + Key.m_Default + " | " + Key.m_Valid +
            " | " + Key.m_Meaning + " |\n";
  return Text;
}

std::string listOfNames(const std::vector<KeyDescription> &Keys) {
  std::string Text;
  for (const KeyDescription &Key : Keys)
    Text += (Text.empty() ? "" : ", ") + Key.m_Name;
  return Text;
}

bool isParentTable(const std::vector<KeyDescription> &Keys,
                   const std::string &Name) {
  if (Name.empty())
    return true;
  const std::string Prefix = Name + '.';
  return std::any_of(Keys.begin(), Keys.end(), [&](const KeyDescription &Key) {
    return Key.m_Name.compare(0, Prefix.size(), Prefix) == 0;
  });
}

} // namespace cyclamencroft
