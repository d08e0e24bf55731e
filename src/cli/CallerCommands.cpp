// The subcommands request, job submit, cancel, status and agents.
#include "cli/Commands.h"
#include "cli/EntryCalls.h"
#include "cli/JobFile.h"
#include "settings/TextFormat.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <iterator>
#include <memory>

namespace cyclamencroft {
namespace {

constexpr std::uint32_t MaxDeadlineMs = 600000;
constexpr std::size_t IdDigits = 32;

std::string checkName(const std::string &Text) {
  if (NameFormat.m_Accepts(Text))
    return {};
  return Text + " must be " + std::string(NameFormat.m_Valid);
}

std::string checkNeed(const std::string &Text) {
  if (parseNeed(Text))
    return {};
  return Text + " must be like cores=2,memory-mib=512,accelerators=0";
}

std::string checkId(const std::string &Text) {
  const bool IsHex =
      Text.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (IsHex && Text.size() == IdDigits)
    return {};
  return Text + " must be 32 lower-case hexadecimal digits";
}

/// Returns \p Argument, or all of standard input when it is "-".
std::string bodyOf(const std::string &Argument) {
  if (Argument != "-")
    return Argument;
  return {std::istreambuf_iterator<char>(std::cin), {}};
}

void addRequest(CLI::App &App, CommandSink &Sink) {
  CLI::App *Command = App.add_subcommand(
      "request",
      "Send one request and print its response.\n"
      "Example: cyclamencroft request permits --entry 127.0.0.1:8080 "
      "--non-idempotent --key permit-17 --deadline-ms 2000 '{\"issue\": 17}'");
  auto Options = std::make_shared<RequestOptions>();
  auto Need = std::make_shared<std::string>();
  addEntryOption(*Command, Options->m_Entry);
  Command->add_option("SERVICE", Options->m_Service, "service to call")
      ->required()
      ->check(checkName);
  Command
      ->add_option("BODY", Options->m_Body,
                   "body of the request; - reads standard input")
      ->required();
  Command->add_option("--team", Options->m_Team, "team whose quota it uses")
      ->check(checkName);
  auto *NonIdempotent =
      Command->add_flag("--non-idempotent", Options->m_NonIdempotent,
                        "run at most once; never retried");
  Command
      ->add_option("--key", Options->m_Key,
                   "rejects a second request with the same key")
      ->needs(NonIdempotent);
  Command
      ->add_option("--deadline-ms", Options->m_DeadlineMs,
                   "time for the response, ms")
      ->check(CLI::Range(1U, MaxDeadlineMs));
  Command
      ->add_option("--need", *Need,
                   "size, such as cores=2,memory-mib=512,accelerators=0")
      ->check(checkNeed);
  Command->callback([&Sink, Options, Need] {
    Options->m_Need = parseNeed(*Need).value_or(Size{});
    Options->m_Body = bodyOf(Options->m_Body);
    Sink.m_Result = sendRequest(*Options);
  });
}

CommandResult submitFile(const std::string &Entry, const std::string &File) {
  DiagnosticList Diagnostics(File);
  const std::string Text = readTextFile(File, Diagnostics);
  if (!Diagnostics.empty())
    return makeFaults(Diagnostics.faults());
  const auto Job = parseJobFile(Text, Diagnostics);
  if (!Job)
    return makeFaults(Diagnostics.faults());
  return submitJob(Entry, *Job);
}

void addJob(CLI::App &App, CommandSink &Sink) {
  CLI::App *Group = App.add_subcommand("job", "Jobs of many tasks");
  Group->require_subcommand(1);
  Group->fallthrough();
  CLI::App *Submit = Group->add_subcommand(
      "submit",
      "Submit a job file (TOML or JSON) and print its response.\n"
      "Example: cyclamencroft job submit job.toml --entry 127.0.0.1:8080");
  auto Entry = std::make_shared<std::string>();
  auto File = std::make_shared<std::string>();
  addEntryOption(*Submit, *Entry);
  Submit->add_option("FILE", *File, "job file")->required();
  Submit->callback(
      [&Sink, Entry, File] { Sink.m_Result = submitFile(*Entry, *File); });
}

void addCancel(CLI::App &App, CommandSink &Sink) {
  CLI::App *Command = App.add_subcommand(
      "cancel", "Cancel a request or job at the entry that accepted it.\n"
                "Example: cyclamencroft cancel "
                "0123456789abcdef0123456789abcdef --entry 127.0.0.1:8080");
  auto Entry = std::make_shared<std::string>();
  auto Id = std::make_shared<std::string>();
  addEntryOption(*Command, *Entry);
  Command->add_option("ID", *Id, "Cyclamencroft-Request-Id of its response")
      ->required()
      ->check(checkId);
  Command->callback(
      [&Sink, Entry, Id] { Sink.m_Result = cancelRequest(*Entry, *Id); });
}

void addStatus(CLI::App &App, CommandSink &Sink) {
  CLI::App *Command = App.add_subcommand(
      "status", "Print the status of an entry or agent.\n"
                "Example: cyclamencroft status --entry 127.0.0.1:8080");
  auto Entry = std::make_shared<std::string>();
  addEntryOption(*Command, *Entry);
  Command->callback([&Sink, Entry] { Sink.m_Result = showStatus(*Entry); });
}

void addAgents(CLI::App &App, CommandSink &Sink) {
  CLI::App *Command = App.add_subcommand(
      "agents", "Print what an entry knows of each agent, one line an agent.\n"
                "Example: cyclamencroft agents --entry 127.0.0.1:8080");
  auto Entry = std::make_shared<std::string>();
  addEntryOption(*Command, *Entry);
  Command->callback([&Sink, Entry] { Sink.m_Result = showAgents(*Entry); });
}

} // namespace

void addCallerCommands(CLI::App &App, CommandSink &Sink) {
  addAgents(App, Sink);
  addCancel(App, Sink);
  addJob(App, Sink);
  addRequest(App, Sink);
  addStatus(App, Sink);
}

} // namespace cyclamencroft
