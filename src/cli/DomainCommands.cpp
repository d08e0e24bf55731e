// The subcommands domain evacuate, restore and show. A request counts from the
// store's answer on; a repeated one changes nothing.
#include "cli/DomainCommands.h"

#include "cli/Commands.h"
#include "http/HttpClient.h"
#include "settings/TextFormat.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <variant>
#include <vector>

namespace cyclamencroft {
namespace {

using Json = nlohmann::ordered_json;

constexpr std::chrono::seconds OperatorTimeout{5};
constexpr unsigned Ok = 200;

/// The value says nothing; a record without one would delete the key.
constexpr const char *RequestValue = "{}";

struct DomainArguments {
  std::string m_Store;
  std::string m_Domain;
};
using ArgumentsPtr = std::shared_ptr<DomainArguments>;

using Domains = std::vector<std::string>;

/// Names of failure domains are those of the settings.
std::string checkDomain(const std::string &Text) {
  if (!Text.empty() && NameFormat.m_Accepts(Text))
    return {};
  return Text + " must be " + std::string(NameFormat.m_Valid);
}

std::variant<Domains, CommandResult>
readEvacuated(const OperatorStore &Operators, const std::string &Address) {
  const TopicStore Store = Operators.m_Open(Address);
  Domains Evacuated;
  std::string AfterKey;
  for (;;) {
    HttpCall Call = Store.m_NewestCall(Operators.m_Topic, AfterKey);
    Call.m_Timeout = OperatorTimeout;
    const HttpOutcome Outcome = httpCallOutcome(Call);
    if (const auto *Fault = std::get_if<Error>(&Outcome))
      return makeFailure(ExitCode::NotReachable, Fault->describe());
    const auto Read = Store.m_ReadNewest(std::get<HttpResponse>(Outcome));
    if (const auto *Fault = std::get_if<StoreFault>(&Read))
      return makeFailure(ExitCode::NotReachable,
                         "the store can't be read: " + Fault->m_Message);
    const auto &Page = std::get<NewestPage>(Read);
    for (const KeyedRecord &Each : Page.m_Records)
      if (const auto Domain = Operators.m_DomainOf(Each.m_Key))
        if (!Each.m_Value.empty())
          Evacuated.push_back(*Domain);
    if (!Page.m_Truncated || Page.m_Records.empty())
      return Evacuated;
    AfterKey = Page.m_Records.back().m_Key;
  }
}

CommandResult show(const OperatorStore &Operators, const std::string &Address) {
  auto Read = readEvacuated(Operators, Address);
  if (auto *Failure = std::get_if<CommandResult>(&Read))
    return std::move(*Failure);
  const auto &Evacuated = std::get<Domains>(Read);
  std::string Text;
  for (const std::string &Each : Evacuated)
    Text += Each + '\n';
  return makeResult(ExitCode::Done, Json{{"evacuated", Evacuated}},
                    Text.empty() ? "no domain is evacuated\n" : Text);
}

CommandResult reportAppend(const HttpOutcome &Outcome,
                           const std::string &Domain, bool Evacuated) {
  if (const auto *Fault = std::get_if<Error>(&Outcome))
    return makeFailure(Fault->m_Step == ConnectStep ? ExitCode::NotReachable
                                                    : ExitCode::Failed,
                       Fault->describe());
  const unsigned Status = std::get<HttpResponse>(Outcome).m_Status;
  if (Status != Ok)
    return makeFailure(ExitCode::Refused, "the store answered with status " +
                                              std::to_string(Status) +
                                              "; nothing was changed");
  return makeResult(ExitCode::Done,
                    Json{{"domain", Domain}, {"evacuated", Evacuated}});
}

CommandResult request(const OperatorStore &Operators,
                      const DomainArguments &Arguments, bool Evacuate) {
  auto Read = readEvacuated(Operators, Arguments.m_Store);
  if (auto *Failure = std::get_if<CommandResult>(&Read))
    return std::move(*Failure);
  const std::string &Domain = Arguments.m_Domain;
  const auto &Evacuated = std::get<Domains>(Read);
  const bool Before =
      std::find(Evacuated.begin(), Evacuated.end(), Domain) != Evacuated.end();
  if (Before == Evacuate)
    return makeResult(
        ExitCode::Done,
        Json{{"domain", Domain}, {"evacuated", Before}, {"changed", false}});
  HttpCall Call =
      Operators.m_Open(Arguments.m_Store)
          .m_AppendCall(Operators.m_Topic, {Operators.m_EncodeKey(Domain),
                                            Evacuate ? RequestValue : "", 0});
  Call.m_Timeout = OperatorTimeout;
  return reportAppend(httpCallOutcome(Call), Domain, Evacuate);
}

void addStoreOption(CLI::App &Command, std::string &Address) {
  Command
      .add_option("--store", Address,
                  "address of the platform's store, IP:port")
      ->required()
      ->envname("CYCLAMENCROFT_STORE")
      ->check([](const std::string &Text) {
        return AddressFormat.m_Accepts(Text)
                   ? std::string()
                   : Text + " must be " + std::string(AddressFormat.m_Valid);
      });
}

} // namespace

void addDomainCommands(CLI::App &App, CommandSink &Sink,
                       const OperatorStore &Store) {
  CLI::App *Group = App.add_subcommand(
      "domain", "Failure domains whose endpoints start no tasks");
  Group->require_subcommand(1);
  Group->fallthrough();
  const auto Add = [&](const std::string &Name, const std::string &Help,
                       bool Evacuate) {
    CLI::App *Command = Group->add_subcommand(
        Name, Help + "\nExample: cyclamencroft domain " + Name +
                  " quimper --store 127.0.0.1:7000");
    auto Arguments = std::make_shared<DomainArguments>();
    addStoreOption(*Command, Arguments->m_Store);
    Command->add_option("DOMAIN", Arguments->m_Domain, "failure domain")
        ->required()
        ->check(checkDomain);
    Command->callback([&Sink, &Store, Arguments, Evacuate] {
      Sink.m_Result = request(Store, *Arguments, Evacuate);
    });
  };
  Add("evacuate", "Let no task start in a failure domain.", true);
  Add("restore", "Let tasks start in a failure domain again.", false);
  CLI::App *Show = Group->add_subcommand(
      "show", "Print the evacuated failure domains.\n"
              "Example: cyclamencroft domain show --store 127.0.0.1:7000");
  auto Address = std::make_shared<std::string>();
  addStoreOption(*Show, *Address);
  Show->callback(
      [&Sink, &Store, Address] { Sink.m_Result = show(Store, *Address); });
}

} // namespace cyclamencroft
