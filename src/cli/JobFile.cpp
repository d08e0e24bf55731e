// JSON job files are flattened to the same list of values as TOML files.
#include "cli/JobFile.h"

#include "settings/KeyTable.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t MaxTasks = 200;
constexpr std::size_t MaxTaskBytes = std::size_t{64} * 1024;
constexpr std::size_t MaxExcerptBytes = 80;

const NumberRange<std::uint32_t> DeadlineRange{0, 600000, "ms"};
const NumberRange<std::uint32_t> CoreRange{0, 1024, "cores"};
const NumberRange<std::uint32_t> MemoryRange{0, 16777216, "MiB"};
const NumberRange<std::uint32_t> AcceleratorRange{0, 64, "accelerators"};

bool storeTasks(const KeyValue &Value, JobFile &Job) {
  const auto *List = std::get_if<std::vector<std::string>>(&Value);
  if (!List || List->empty() || List->size() > MaxTasks)
    return false;
  for (const std::string &Task : *List)
    if (Task.size() > MaxTaskBytes)
      return false;
  Job.m_Tasks = *List;
  return true;
}

const std::vector<KeyRule<JobFile>> &jobKeys() {
  using S = JobFile;
  static const std::vector<KeyRule<S>> Keys{
      required(textKey("service", &S::m_Service, NameFormat,
                       "service whose endpoints run the tasks")),
      textKey("team", &S::m_Team, OptionalNameFormat,
              "team whose quota the tasks count against"),
      integerKey("deadline_ms", &S::m_DeadlineMs, DeadlineRange,
                 "time for the whole job; 0 takes the service's default"),
      integerKey("size.cores", &S::m_Cores, CoreRange,
                 "cores that each task needs"),
      integerKey("size.memory_mib", &S::m_MemoryMiB, MemoryRange,
                 "memory that each task needs"),
      integerKey("size.accelerators", &S::m_Accelerators, AcceleratorRange,
                 "accelerators that each task needs"),
      {{"tasks", "list of text", "", "required",
        "1 to 200 texts of at most 64 KiB each", "request body of each task"},
       true,
       storeTasks},
  };
  return Keys;
}

KeyValue valueOf(const Json &Value) {
  if (Value.is_object())
    return EmptyTable{};
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_boolean())
    return Value.get<bool>();
  // A number above the signed 64-bit range exceeds the limits of every key, so
  // that its conversion to double is rejected as well.
  if (Value.is_number_integer() &&
      (!Value.is_number_unsigned() ||
       Value.get<std::uint64_t>() <= std::uint64_t{INT64_MAX}))
    return Value.get<std::int64_t>();
  if (Value.is_number())
    return Value.get<double>();
  if (!Value.is_array())
    return OtherValue{};
  std::vector<std::string> List;
  for (const Json &Element : Value) {
    if (!Element.is_string())
      return OtherValue{};
    List.push_back(Element.get<std::string>());
  }
  return List;
}

void flatten(const Json &Object, std::vector<std::string> &Path,
             std::vector<DocumentValue> &Values) {
  for (const auto &[Name, Value] : Object.items()) {
    Path.push_back(Name);
    if (Value.is_object() && !Value.empty())
      flatten(Value, Path, Values);
    else
      Values.push_back(
          {Path, 0, valueOf(Value), Value.dump().substr(0, MaxExcerptBytes)});
    Path.pop_back();
  }
}

std::vector<DocumentValue> parseJson(const std::string &Text,
                                     DiagnosticList &Diagnostics) {
  std::vector<DocumentValue> Values;
  try {
    std::vector<std::string> Path;
    flatten(Json::parse(Text), Path, Values);
  } catch (const std::exception &Fault) {
    Diagnostics.addText(0, std::string("not valid JSON: ") + Fault.what());
  }
  return Values;
}

} // namespace

std::optional<JobFile> parseJobFile(const std::string &Text,
                                    DiagnosticList &Diagnostics) {
  const std::size_t First = Text.find_first_not_of(" \t\r\n");
  const bool IsJson = First != std::string::npos && Text[First] == '{';
  const auto Values =
      IsJson ? parseJson(Text, Diagnostics) : parseToml(Text, Diagnostics);
  if (!Diagnostics.empty())
    return std::nullopt;
  JobFile Job;
  applyKeys<JobFile>(jobKeys(), Values, 0, "", Job, Diagnostics);
  if (!Diagnostics.empty())
    return std::nullopt;
  return Job;
}

std::string jobFileReference() {
  return "## Job file\n\nTOML or JSON, at most 1 MiB.\n\n" +
         markdownTable(describeKeys(jobKeys()));
}

} // namespace cyclamencroft
