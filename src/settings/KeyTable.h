// Tables of keys. Each row defines the check, the storage and the documentation
// of one key of a TOML document, so that checks and reference stay consistent.
#pragma once

#include "core/RuntimeClock.h"
#include "settings/TextFormat.h"
#include "settings/TomlDocument.h"

#include <boost/core/span.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

/// Documentation of one key in the reference.
struct KeyDescription {
  std::string m_Name;
  std::string m_Type;
  std::string m_Unit;
  std::string m_Default;
  /// Valid values in words; fault messages end with it.
  std::string m_Valid;
  std::string m_Meaning;
};

/// One row of a key table; its value is stored in a \p T.
template <class T> struct KeyRule {
  KeyDescription m_Description;
  bool m_Required = false;
  /// Stores a valid value; returns false when the value is invalid.
  std::function<bool(const KeyValue &, T &)> m_Store;
};

/// Marks the key of \p Rule as required.
template <class T> KeyRule<T> required(KeyRule<T> Rule) {
  Rule.m_Required = true;
  Rule.m_Description.m_Default = "required";
  return Rule;
}

/// Formats a number for the reference and for fault messages.
std::string formatNumber(double Value);

/// Inclusive limits of a number, and its unit.
template <class N> struct NumberRange {
  N m_Lowest;
  N m_Highest;
  std::string_view m_Unit;

  std::string describe(std::string_view Kind) const {
    return std::string(Kind) + " from " + formatNumber(m_Lowest) + " to " +
           formatNumber(m_Highest);
  }
};

template <class T>
KeyRule<T> textKey(std::string Name, std::string T::*Member, TextFormat Format,
                   std::string Meaning) {
  const auto Store = [Member, Format](const KeyValue &Value, T &Target) {
    const auto *Text = std::get_if<std::string>(&Value);
    if (!Text || !Format.m_Accepts(*Text))
      return false;
    Target.*Member = *Text;
    return true;
  };
  return {{std::move(Name), "text", "", '"' + T{}.*Member + '"',
           std::string(Format.m_Valid), std::move(Meaning)},
          false,
          Store};
}

/// A list of at least \p Lowest distinct texts.
template <class T>
KeyRule<T> textListKey(std::string Name, std::vector<std::string> T::*Member,
                       TextFormat Format, std::size_t Lowest,
                       std::string Meaning) {
  const auto Store = [Member, Format, Lowest](const KeyValue &Value,
                                              T &Target) {
    const auto *List = std::get_if<std::vector<std::string>>(&Value);
    if (!List || List->size() < Lowest)
      return false;
    std::set<std::string> Distinct;
    for (const std::string &Text : *List)
      if (!Format.m_Accepts(Text) || !Distinct.insert(Text).second)
        return false;
    Target.*Member = *List;
    return true;
  };
  return {{std::move(Name), "list of text", "", "[]",
           std::to_string(Lowest) + " or more distinct texts, each " +
               std::string(Format.m_Valid),
           std::move(Meaning)},
          false,
          Store};
}

/// One of several names, each mapped to a value.
template <class T, class V>
KeyRule<T> choiceKey(std::string Name, V T::*Member,
                     std::vector<std::pair<std::string, V>> Choices,
                     std::string Meaning) {
  std::string Valid;
  for (const auto &Choice : Choices)
    Valid += (Valid.empty() ? "\"" : ", \"") + Choice.first + '"';
  const auto Store = [Member, Choices](const KeyValue &Value, T &Target) {
    const auto *Text = std::get_if<std::string>(&Value);
    for (const auto &Choice : Choices)
      if (Text && Choice.first == *Text) {
        Target.*Member = Choice.second;
        return true;
      }
    return false;
  };
  return {{std::move(Name), "text", "", '"' + Choices.front().first + '"',
           "one of " + Valid, std::move(Meaning)},
          false,
          Store};
}

/// A duration in whole milliseconds; the name ends in "_ms".
template <class T>
KeyRule<T> millisecondsKey(std::string Name, Duration T::*Member,
                           NumberRange<std::uint32_t> Range,
                           std::string Meaning) {
  const auto Store = [Member, Range](const KeyValue &Value, T &Target) {
    const auto *Number = std::get_if<std::int64_t>(&Value);
    if (!Number || *Number < Range.m_Lowest || *Number > Range.m_Highest)
      return false;
    Target.*Member = std::chrono::milliseconds(*Number);
    return true;
  };
  const auto Default =
      std::chrono::duration_cast<std::chrono::milliseconds>(T{}.*Member);
  return {{std::move(Name), "integer", std::string(Range.m_Unit),
           formatNumber(static_cast<double>(Default.count())),
           Range.describe("an integer"), std::move(Meaning)},
          false,
          Store};
}

template <class T>
KeyRule<T> booleanKey(std::string Name, bool T::*Member, std::string Meaning) {
  const auto Store = [Member](const KeyValue &Value, T &Target) {
    const auto *Flag = std::get_if<bool>(&Value);
    if (Flag)
      Target.*Member = *Flag;
    return Flag != nullptr;
  };
  return {{std::move(Name), "boolean", "", T{}.*Member ? "true" : "false",
           "true or false", std::move(Meaning)},
          false,
          Store};
}

template <class T>
KeyRule<T> integerKey(std::string Name, std::uint32_t T::*Member,
                      NumberRange<std::uint32_t> Range, std::string Meaning) {
  const auto Store = [Member, Range](const KeyValue &Value, T &Target) {
    const auto *Number = std::get_if<std::int64_t>(&Value);
    if (!Number || *Number < Range.m_Lowest || *Number > Range.m_Highest)
      return false;
    Target.*Member = static_cast<std::uint32_t>(*Number);
    return true;
  };
  return {{std::move(Name), "integer", std::string(Range.m_Unit),
           formatNumber(T{}.*Member), Range.describe("an integer"),
           std::move(Meaning)},
          false,
          Store};
}

template <class T>
KeyRule<T> realKey(std::string Name, double T::*Member,
                   NumberRange<double> Range, std::string Meaning) {
  const auto Store = [Member, Range](const KeyValue &Value, T &Target) {
    double Number = 0;
    if (const auto *Whole = std::get_if<std::int64_t>(&Value))
      Number = static_cast<double>(*Whole);
    else if (const auto *Real = std::get_if<double>(&Value))
      Number = *Real;
    else
      return false;
    // Written as a negation so that NaN is rejected too.
    if (!(Number >= Range.m_Lowest && Number <= Range.m_Highest))
      return false;
    Target.*Member = Number;
    return true;
  };
  return {{std::move(Name), "number", std::string(Range.m_Unit),
           formatNumber(T{}.*Member), Range.describe("a number"),
           std::move(Meaning)},
          false,
          Store};
}

/// Descriptions of all rows of a table, for the reference.
template <class T>
std::vector<KeyDescription> describeKeys(const std::vector<KeyRule<T>> &Rules) {
  std::vector<KeyDescription> Descriptions;
  Descriptions.reserve(Rules.size());
  for (const KeyRule<T> &Rule : Rules)
    Descriptions.push_back(Rule.m_Description);
  return Descriptions;
}

/// Markdown table of \p Keys.
std::string markdownTable(boost::span<const KeyDescription> Keys);

/// Comma-separated names of \p Keys for the fault message of an unknown key.
std::string listOfNames(const std::vector<KeyDescription> &Keys);

/// True when \p Name is empty or names a table that can contain one of \p Keys.
bool isParentTable(const std::vector<KeyDescription> &Keys,
                   const std::string &Name);

/// Checks \p Values against \p Rules and stores them in \p Target; adds every
/// fault to \p Diagnostics. The first \p Depth parts of each path are skipped;
/// \p TablePrefix precedes the names of missing keys.
template <class T>
void applyKeys(const std::vector<KeyRule<T>> &Rules,
               boost::span<const DocumentValue> Values, std::size_t Depth,
               const std::string &TablePrefix, T &Target,
               DiagnosticList &Diagnostics) {
  std::set<std::string> Present;
  for (const DocumentValue &Value : Values) {
    const std::string Name = joinPath(Value.m_Path, Depth);
    const bool IsEmptyTable = std::holds_alternative<EmptyTable>(Value.m_Value);
    if (IsEmptyTable && isParentTable(describeKeys(Rules), Name))
      continue;
    const KeyRule<T> *Found = nullptr;
    for (const KeyRule<T> &Rule : Rules)
      if (Rule.m_Description.m_Name == Name)
        Found = &Rule;
    Present.insert(Name);
    if (!Found)
      Diagnostics.add(Value, "unknown key; valid keys are " +
                                 listOfNames(describeKeys(Rules)));
    else if (!Found->m_Store(Value.m_Value, Target))
      Diagnostics.add(Value, "must be " + Found->m_Description.m_Valid);
  }
  for (const KeyRule<T> &Rule : Rules)
    if (Rule.m_Required && Present.count(Rule.m_Description.m_Name) == 0)
      Diagnostics.addMissing(TablePrefix + Rule.m_Description.m_Name,
                             "must be " + Rule.m_Description.m_Valid);
}

} // namespace cyclamencroft
