// The subcommands config check, publish, recover and show, and preset show and
// switch.
#include "cli/Commands.h"
#include "cli/ConfigPublisher.h"
#include "cli/ConfigRecovery.h"
#include "cli/EntryCalls.h"
#include "config/ConfigDocument.h"
#include "settings/TextFormat.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <memory>

namespace cyclamencroft {
namespace {

using Json = nlohmann::ordered_json;

/// Parsed options of one command.
struct ConfigArguments {
  std::string m_File;
  std::string m_Preset;
  std::string m_Log;
  std::string m_Entry;
  std::string m_Author;
  ConfigVersion m_Base = 0;
  bool m_HasBase = false;
};
using ArgumentsPtr = std::shared_ptr<ConfigArguments>;

ExitCode exitCodeOf(PublishStatus Status) {
  switch (Status) {
  case PublishStatus::Accepted:
    return ExitCode::Done;
  case PublishStatus::Rejected:
    return ExitCode::Invalid;
  case PublishStatus::LostRace:
    return ExitCode::LostRace;
  case PublishStatus::NotReachable:
    return ExitCode::NotReachable;
  case PublishStatus::Unknown:
    break;
  }
  return ExitCode::Failed;
}

CommandResult reportPublish(const PublishOutcome &Outcome) {
  const Json Fields{{"result", Outcome.m_Detail},
                    {"version", Outcome.m_Version},
                    {"change", Outcome.m_ChangeId}};
  return makeResult(exitCodeOf(Outcome.m_Status), Fields,
                    Outcome.m_Detail + '\n');
}

CommandResult runPublish(const ConfigArguments &Arguments,
                         const ConfigRecord &Change) {
  PublishRequest Request;
  Request.m_LogAddress = Arguments.m_Log;
  if (Arguments.m_HasBase)
    Request.m_Base = Arguments.m_Base;
  Request.m_Author = Arguments.m_Author;
  Request.m_Change = Change;
  return reportPublish(publish(Request));
}

/// Keys of a map.
template <class T> std::vector<std::string> namesOf(const T &Map) {
  std::vector<std::string> Names;
  Names.reserve(Map.size());
  for (const auto &Item : Map)
    Names.push_back(Item.first);
  return Names;
}

CommandResult checkDocument(const std::string &File) {
  DiagnosticList Diagnostics(File);
  const std::string Text = readTextFile(File, Diagnostics);
  if (!Diagnostics.empty())
    return makeFaults(Diagnostics.faults());
  const auto Document = parseConfigDocument(Text, Diagnostics);
  if (!Document)
    return makeFaults(Diagnostics.faults());
  const Configuration &Config = Document->m_Configuration;
  const Json Fields{{"file", File},
                    {"valid", true},
                    {"services", namesOf(Config.m_Services)},
                    {"teams", Config.m_Teams.size()},
                    {"presets", namesOf(Config.m_Presets)},
                    {"preset", Document->m_Preset}};
  return makeResult(ExitCode::Done, Fields);
}

CommandResult publishFile(const ConfigArguments &Arguments) {
  CommandResult Checked = checkDocument(Arguments.m_File);
  if (Checked.m_Code != ExitCode::Done)
    return Checked;
  DiagnosticList Diagnostics(Arguments.m_File);
  DocumentChange Change;
  Change.m_Document = readTextFile(Arguments.m_File, Diagnostics);
  return runPublish(Arguments, Change);
}

CommandResult recoverFile(const ConfigArguments &Arguments) {
  CommandResult Checked = checkDocument(Arguments.m_File);
  if (Checked.m_Code != ExitCode::Done)
    return Checked;
  DiagnosticList Diagnostics(Arguments.m_File);
  RecoveryRequest Request;
  Request.m_LogAddress = Arguments.m_Log;
  Request.m_Document = readTextFile(Arguments.m_File, Diagnostics);
  const auto Document = parseConfigDocument(Request.m_Document, Diagnostics);
  if (!Document)
    return makeFaults(Diagnostics.faults());
  Request.m_Preset = Document->m_Preset;
  Request.m_Version = Arguments.m_Base;
  return reportPublish(recoverConfig(Request));
}

/// Address in an environment variable; empty when the variable is unset or
/// holds no valid address.
std::string addressFromEnvironment(const char *Name) {
  const char *Text = std::getenv(Name);
  return Text && AddressFormat.m_Accepts(Text) ? Text : "";
}

/// Takes the source from the environment when no option names one. Returns
/// whether there is a source.
bool chooseSource(ConfigArguments &Arguments) {
  if (!Arguments.m_Log.empty() || !Arguments.m_Entry.empty())
    return true;
  Arguments.m_Log = addressFromEnvironment("CYCLAMENCROFT_LOG");
  if (Arguments.m_Log.empty())
    Arguments.m_Entry = addressFromEnvironment("CYCLAMENCROFT_ENTRY");
  return !Arguments.m_Log.empty() || !Arguments.m_Entry.empty();
}

/// Reads the configuration in effect from the log or from an entry. Without a
/// value the reason is in \p Failure.
std::optional<ConfigTransfer> readConfigInEffect(ConfigArguments Arguments,
                                                 CommandResult &Failure) {
  if (!chooseSource(Arguments)) {
    Failure = makeFailure(ExitCode::Invalid, "--log or --entry is required");
    return std::nullopt;
  }
  if (!Arguments.m_Entry.empty())
    return fetchConfig(Arguments.m_Entry, Failure);
  StreamReader Reader(Arguments.m_Log);
  if (const auto Fault = Reader.catchUpToVersion(StreamTimeout)) {
    Failure = makeFailure(ExitCode::NotReachable, Fault->describe());
    return std::nullopt;
  }
  const ConfigStatePtr State = Reader.stateMachine().adopted();
  if (!Reader.stateMachine().isCurrent() || !State) {
    Failure = makeFailure(ExitCode::Failed,
                          Reader.stateMachine().isCurrent()
                              ? "no configuration has been accepted yet"
                              : "the version in effect is not known: the log "
                                "is truncated and has no usable snapshot");
    return std::nullopt;
  }
  return ConfigTransfer{State->m_Version, State->m_Offset, State->m_PresetName,
                        State->m_Document};
}

CommandResult showConfig(const ConfigArguments &Arguments) {
  CommandResult Failure;
  const auto State = readConfigInEffect(Arguments, Failure);
  if (!State)
    return Failure;
  const Json Fields{{"version", State->m_Version},
                    {"offset", State->m_Offset},
                    {"preset", State->m_Preset},
                    {"document", State->m_Document}};
  // Version and preset are a TOML comment, so that the output can be published
  // again as a document.
  return makeResult(ExitCode::Done, Fields,
                    "# version " + std::to_string(State->m_Version) +
                        ", preset in effect " + State->m_Preset + '\n' +
                        State->m_Document);
}

CommandResult showPreset(const ConfigArguments &Arguments) {
  CommandResult Failure;
  const auto State = readConfigInEffect(Arguments, Failure);
  if (!State)
    return Failure;
  DiagnosticList Diagnostics("document");
  const auto Document = parseConfigDocument(State->m_Document, Diagnostics);
  if (!Document)
    return makeFaults(Diagnostics.faults());
  const Json Fields{{"preset", State->m_Preset},
                    {"version", State->m_Version},
                    {"presets", namesOf(Document->m_Configuration.m_Presets)}};
  return makeResult(ExitCode::Done, Fields);
}

void addPublishOptions(CLI::App &Command, const ArgumentsPtr &Arguments) {
  addLogOption(Command, Arguments->m_Log);
  Command
      .add_option_function<ConfigVersion>(
          "--base",
          [Arguments](const ConfigVersion &Base) {
            Arguments->m_Base = Base;
            Arguments->m_HasBase = true;
          },
          "version that the change was made from; the one in effect when "
          "left out")
      ->type_name("VERSION");
  Arguments->m_Author = "operator";
  Command
      .add_option("--author", Arguments->m_Author,
                  "name that the log keeps with the change")
      ->envname("USER")
      ->capture_default_str();
}

/// An address given as an option takes precedence over both environment
/// variables, so that one command can query an entry while CYCLAMENCROFT_LOG is
/// set.
void addSourceOptions(CLI::App &Command, const ArgumentsPtr &Arguments) {
  CLI::Option_group *Source = Command.add_option_group(
      "source", "where to read the configuration in effect; by default at "
                "CYCLAMENCROFT_LOG, else CYCLAMENCROFT_ENTRY");
  addLogOption(*Source, Arguments->m_Log);
  addEntryOption(*Source, Arguments->m_Entry);
  for (CLI::Option *Address : Source->get_options())
    Address->required(false)->envname("");
  Source->require_option(0, 1);
}

CLI::App *addCommand(CLI::App &Parent, const char *Name, const char *Help,
                     CommandSink &Sink, const ArgumentsPtr &Arguments,
                     CommandResult (*Run)(const ConfigArguments &)) {
  CLI::App *Command = Parent.add_subcommand(Name, Help);
  Command->callback(
      [&Sink, Arguments, Run] { Sink.m_Result = Run(*Arguments); });
  return Command;
}

CLI::App *addGroup(CLI::App &App, const char *Name, const char *Help) {
  CLI::App *Group = App.add_subcommand(Name, Help);
  Group->require_subcommand(1);
  Group->fallthrough();
  return Group;
}

void addConfigGroup(CLI::App &App, CommandSink &Sink) {
  CLI::App *Config = addGroup(App, "config", "Configuration document");
  auto Arguments = std::make_shared<ConfigArguments>();
  CLI::App *Check =
      addCommand(*Config, "check",
                 "Check a document and report every fault.\n"
                 "Example: cyclamencroft config check configuration.toml",
                 Sink, Arguments, [](const ConfigArguments &Given) {
                   return checkDocument(Given.m_File);
                 });
  Check->add_option("FILE", Arguments->m_File, "document (TOML)")->required();

  Arguments = std::make_shared<ConfigArguments>();
  CLI::App *Publish = addCommand(
      *Config, "publish",
      "Publish a document and wait until it is accepted or rejected. Of "
      "changes with one base the first in the log wins.\nExample: "
      "cyclamencroft config publish configuration.toml --log 127.0.0.1:7000 "
      "--base 4",
      Sink, Arguments, publishFile);
  Publish->add_option("FILE", Arguments->m_File, "document (TOML)")->required();
  addPublishOptions(*Publish, Arguments);

  Arguments = std::make_shared<ConfigArguments>();
  CLI::App *Recover = addCommand(
      *Config, "recover",
      "Restore the document when the log is truncated, holds no snapshot, and "
      "no entry is left that knows the version in effect.\n"
      "Example: cyclamencroft config recover configuration.toml --version 912 "
      "--log 127.0.0.1:7000",
      Sink, Arguments, recoverFile);
  Recover->add_option("FILE", Arguments->m_File, "document (TOML)")->required();
  Recover
      ->add_option("--version", Arguments->m_Base,
                   "above every version in the logs of entries and agents "
                   "(event=config-adopted)")
      ->required()
      ->check(CLI::PositiveNumber);
  addLogOption(*Recover, Arguments->m_Log);

  Arguments = std::make_shared<ConfigArguments>();
  CLI::App *Show = addCommand(
      *Config, "show",
      "Print the document in effect, from the log or from an entry.\n"
      "Example: cyclamencroft config show --entry 127.0.0.1:8080",
      Sink, Arguments, showConfig);
  addSourceOptions(*Show, Arguments);
}

void addPresetGroup(CLI::App &App, CommandSink &Sink) {
  CLI::App *Presets = addGroup(App, "preset", "Preset in effect");
  auto Arguments = std::make_shared<ConfigArguments>();
  CLI::App *Show =
      addCommand(*Presets, "show",
                 "Print the preset in effect and those of the document.\n"
                 "Example: cyclamencroft preset show --log 127.0.0.1:7000",
                 Sink, Arguments, showPreset);
  addSourceOptions(*Show, Arguments);

  Arguments = std::make_shared<ConfigArguments>();
  CLI::App *Switch = addCommand(
      *Presets, "switch",
      "Put a preset in effect and wait until that is accepted or rejected.\n"
      "Example: cyclamencroft preset switch maintenance --log 127.0.0.1:7000",
      Sink, Arguments, [](const ConfigArguments &Given) {
        return runPublish(Given, PresetSwitch{{}, Given.m_Preset});
      });
  Switch->add_option("NAME", Arguments->m_Preset, "preset of the document")
      ->required();
  addPublishOptions(*Switch, Arguments);
}

} // namespace

void addConfigCommands(CLI::App &App, CommandSink &Sink) {
  addConfigGroup(App, Sink);
  addPresetGroup(App, Sink);
}

} // namespace cyclamencroft
