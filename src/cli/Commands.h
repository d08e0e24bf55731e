// Groups of subcommands. Each function adds its commands with callbacks that
// store their result in the sink.
#pragma once

#include "cli/CommandResult.h"

#include <optional>
#include <string>

namespace CLI {
class App;
}

namespace cyclamencroft {

struct CommandSink {
  std::optional<CommandResult> m_Result;
};

void addBenchCommand(CLI::App &App, CommandSink &Sink);
void addCallerCommands(CLI::App &App, CommandSink &Sink);
void addConfigCommands(CLI::App &App, CommandSink &Sink);
void addSettingsCommands(CLI::App &App, CommandSink &Sink);

/// Adds the required option --entry or --log with its validator and its
/// environment variable.
void addEntryOption(CLI::App &Command, std::string &Address);
void addLogOption(CLI::App &Command, std::string &Address);

/// Generates the text of docs/reference.md.
std::string referencePage();

} // namespace cyclamencroft
