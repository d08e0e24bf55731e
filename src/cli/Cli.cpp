// Assembles the command line from its groups of subcommands, runs it and prints
// the result.
#include "cli/Cli.h"

#include "cli/Commands.h"
#include "cli/DomainCommands.h"
#include "settings/TextFormat.h"

#include <CLI/CLI.hpp>

#include <ostream>

namespace cyclamencroft {
namespace {

std::string checkAddress(const std::string &Text) {
  if (AddressFormat.m_Accepts(Text))
    return {};
  return Text + " must be " + std::string(AddressFormat.m_Valid);
}

int print(const CommandResult &Result, bool AsJson, std::ostream &Output,
          std::ostream &Errors) {
  if (AsJson)
    Output << Result.m_Json;
  else if (Result.m_Code == ExitCode::Done)
    Output << Result.m_Text;
  else
    Errors << Result.m_Text;
  return static_cast<int>(Result.m_Code);
}

/// Replaces CLI11's own exit codes: every usage error exits with 2.
int printUsage(const CLI::App &App, const CLI::ParseError &Fault,
               std::ostream &Output, std::ostream &Errors) {
  const int Code = App.exit(Fault, Output, Errors);
  return static_cast<int>(Code == 0 ? ExitCode::Done : ExitCode::Invalid);
}

} // namespace

void addEntryOption(CLI::App &Command, std::string &Address) {
  Command.add_option("--entry", Address, "HTTP address of an entry, IP:port")
      ->required()
      ->envname("CYCLAMENCROFT_ENTRY")
      ->check(checkAddress);
}

void addLogOption(CLI::App &Command, std::string &Address) {
  Command
      .add_option("--log", Address, "address of the platform's log, IP:port")
      ->required()
      ->envname("CYCLAMENCROFT_LOG")
      ->check(checkAddress);
}

int runCli(int Count, const char *const *Arguments, std::ostream &Output,
           std::ostream &Errors, const OperatorStore *Store) {
  CLI::App App("Dispatcher for short tasks: configuration, presets, requests "
               "and jobs.\nExample: cyclamencroft preset switch peak --log "
               "127.0.0.1:7000",
               "cyclamencroft");
  App.footer(ExitCodeHelp);
  App.require_subcommand(1);
  App.fallthrough();
  std::string Format = "text";
  App.add_option("--output", Format, "text, or json for one object on a line")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();
  CommandSink Sink;
  addBenchCommand(App, Sink);
  addCallerCommands(App, Sink);
  addConfigCommands(App, Sink);
  if (Store)
    addDomainCommands(App, Sink, *Store);
  addSettingsCommands(App, Sink);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::RuntimeError &Fault) {
    // Thrown by a command that has already printed its report.
    return Fault.get_exit_code();
  } catch (const CLI::ParseError &Fault) {
    return printUsage(App, Fault, Output, Errors);
  }
  if (!Sink.m_Result)
    return static_cast<int>(ExitCode::Done);
  return print(*Sink.m_Result, Format == "json", Output, Errors);
}

} // namespace cyclamencroft
