// Key tables of the configuration document and checks across keys.
#include "config/ConfigDocument.h"

#include "settings/KeyTable.h"

namespace cyclamencroft {
namespace {

using ValueList = std::vector<DocumentValue>;
/// Values of each named table, such as each team, by name.
using NamedTables = std::map<std::string, ValueList>;

/// Bounded because an entry keeps the caller's connection open until the
/// deadline.
const NumberRange<std::uint32_t> DeadlineRange{1, 600000, "ms"};
/// The design capacity at peak is 120,000 task starts a second over all teams.
const NumberRange<std::uint32_t> StartsRange{0, 1000000, "task starts/s"};
const NumberRange<std::uint32_t> QueueRange{0, 1000000, "tasks"};
const NumberRange<std::uint32_t> PercentRange{0, 100, "%"};
const NumberRange<std::uint32_t> AgentQueueRange{0, 1024, "tasks"};
const NumberRange<double> HedgeRange{1, 100, "multiple"};

/// Keys at the top level of the document, outside any table.
struct TopLevel {
  std::string m_Preset;
};

const std::vector<KeyRule<TopLevel>> &topLevelKeys() {
  static const std::vector<KeyRule<TopLevel>> Keys{
      required(textKey("preset", &TopLevel::m_Preset, NameFormat,
                       "preset in effect once the document is accepted")),
  };
  return Keys;
}

const std::vector<KeyRule<ServiceConfig>> &serviceKeys() {
  using S = ServiceConfig;
  static const std::vector<KeyRule<S>> Keys{
      millisecondsKey("default_deadline_ms", &S::m_DefaultDeadline,
                      DeadlineRange, "deadline of a request that sets none"),
      millisecondsKey("max_deadline_ms", &S::m_MaxDeadline, DeadlineRange,
                      "longest deadline that a caller may ask for; not below "
                      "default_deadline_ms"),
  };
  return Keys;
}

const std::vector<KeyRule<TeamConfig>> &teamKeys() {
  static const std::vector<KeyRule<TeamConfig>> Keys{
      integerKey("starts_per_second", &TeamConfig::m_StartsPerSecond,
                 StartsRange,
                 "task starts a second over all entries; 0 means no limit"),
  };
  return Keys;
}

const std::vector<KeyRule<Preset>> &presetKeys() {
  using S = Preset;
  const std::vector<std::pair<std::string, RoutingPolicy>> Policies{
      {"share", SharePolicy{}},
      {"random", RandomPolicy{}},
      {"round-robin", RoundRobinPolicy{}},
      {"least-loaded", LeastLoadedPolicy{}}};
  static const std::vector<KeyRule<S>> Keys{
      choiceKey("routing", &S::m_Routing, Policies,
                "how an entry chooses an endpoint; all but share are "
                "baselines for comparison"),
      booleanKey("admits_work", &S::m_AdmitsWork,
                 "false refuses all new requests and jobs as not run"),
      integerKey("queue_limit", &S::m_QueueLimit, QueueRange,
                 "tasks that may wait at one entry for one service"),
      integerKey("retry_percent", &S::m_RetryPercent, PercentRange,
                 "retries allowed for every hundred requests"),
      booleanKey("hedging", &S::m_Hedging,
                 "true allows a second attempt of a slow idempotent request"),
      realKey("hedge_after", &S::m_HedgeAfter, HedgeRange,
              "multiple of the service's usual run time after which to hedge"),
      integerKey("agent_queue", &S::m_AgentQueue, AgentQueueRange,
                 "tasks that may wait at an agent beyond its slots"),
      textListKey("drained_failure_domains", &S::m_DrainedFailureDomains,
                  NameFormat, 0,
                  "failure domains whose endpoints take no new work"),
  };
  return Keys;
}

/// Groups the values under "kind.NAME." by name; adds a fault for an invalid
/// name.
NamedTables namedTables(const ValueList &Values, const std::string &Kind,
                        DiagnosticList &Diagnostics) {
  NamedTables Tables;
  for (const DocumentValue &Value : Values) {
    if (Value.m_Path.front() != Kind)
      continue;
    const bool IsTable = Value.m_Path.size() > 2 ||
                         std::holds_alternative<EmptyTable>(Value.m_Value);
    if (!IsTable)
      Diagnostics.add(Value, "must be a table [" + Kind + ".NAME]");
    else if (Value.m_Path.size() > 1)
      Tables[Value.m_Path[1]].push_back(Value);
  }
  for (const auto &[Name, Content] : Tables) {
    if (NameFormat.m_Accepts(Name))
      continue;
    std::string Fault = joinPath({Kind, Name});
    Fault.append(": the name must be ").append(NameFormat.m_Valid);
    Diagnostics.addText(Content.front().m_Line, Fault);
  }
  return Tables;
}

template <class T>
std::map<std::string, T>
readTables(const ValueList &Values, const std::string &Kind,
           const std::vector<KeyRule<T>> &Rules, DiagnosticList &Diagnostics) {
  std::map<std::string, T> Result;
  for (const auto &[Name, Content] : namedTables(Values, Kind, Diagnostics)) {
    const std::string TablePrefix = joinPath({Kind, Name}) + '.';
    applyKeys<T>(Rules, Content, 2, TablePrefix, Result[Name], Diagnostics);
  }
  return Result;
}

void readTopLevel(const ValueList &Values, ConfigDocument &Document,
                  DiagnosticList &Diagnostics) {
  ValueList Rest;
  for (const DocumentValue &Value : Values) {
    const std::string &Name = Value.m_Path.front();
    const bool IsTable =
        Name == "services" || Name == "teams" || Name == "presets";
    if (!IsTable)
      Rest.push_back(Value);
  }
  TopLevel Top;
  applyKeys<TopLevel>(topLevelKeys(), Rest, 0, "", Top, Diagnostics);
  Document.m_Preset = Top.m_Preset;
}

void checkDeadlines(const Configuration &Config, DiagnosticList &Diagnostics) {
  for (const auto &[Name, Service] : Config.m_Services)
    if (Service.m_MaxDeadline < Service.m_DefaultDeadline)
      Diagnostics.addText(0, "services." + Name +
                                 ": max_deadline_ms must not be below "
                                 "default_deadline_ms");
}

void checkPresets(const ConfigDocument &Document, DiagnosticList &Diagnostics) {
  const auto &Presets = Document.m_Configuration.m_Presets;
  if (Presets.empty())
    Diagnostics.addMissing("[presets.NAME]", "must be at least one preset");
  else if (!Document.m_Preset.empty() && Presets.count(Document.m_Preset) == 0)
    Diagnostics.addText(0,
                        "preset = \"" + Document.m_Preset +
                            "\": must name one of the presets of the document");
}

} // namespace

std::optional<ConfigDocument> parseConfigDocument(const std::string &Text,
                                                  DiagnosticList &Diagnostics) {
  if (Text.size() > MaxDocumentBytes) {
    Diagnostics.addText(0, "the document is larger than 256 KiB");
    return std::nullopt;
  }
  const ValueList Values = parseToml(Text, Diagnostics);
  if (!Diagnostics.empty())
    return std::nullopt;
  ConfigDocument Document;
  Configuration &Config = Document.m_Configuration;
  readTopLevel(Values, Document, Diagnostics);
  Config.m_Services =
      readTables(Values, "services", serviceKeys(), Diagnostics);
  Config.m_Teams = readTables(Values, "teams", teamKeys(), Diagnostics);
  Config.m_Presets = readTables(Values, "presets", presetKeys(), Diagnostics);
  if (Config.m_Services.empty())
    Diagnostics.addMissing("[services.NAME]", "must be at least one service");
  checkDeadlines(Config, Diagnostics);
  checkPresets(Document, Diagnostics);
  if (!Diagnostics.empty())
    return std::nullopt;
  return Document;
}

std::string configurationReference() {
  return "## Configuration document\n\nAt most 256 KiB of TOML with at least "
         "one service and one preset.\n\n" +
         markdownTable(describeKeys(topLevelKeys())) +
         "\n### `[services.NAME]`\n\n" +
         markdownTable(describeKeys(serviceKeys())) +
         "\n### `[teams.NAME]`\n\n" + markdownTable(describeKeys(teamKeys())) +
         "\n### `[presets.NAME]`\n\n" +
         markdownTable(describeKeys(presetKeys()));
}

} // namespace cyclamencroft
