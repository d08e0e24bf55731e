// Formats the result of a command as text and as JSON.
#include "cli/CommandResult.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::ordered_json;

/// Replaces invalid UTF-8, which a response may hold and which would throw.
std::string dump(const Json &Value, int Indent = -1) {
  return Value.dump(Indent, ' ', false, Json::error_handler_t::replace);
}

} // namespace

const char *const ExitCodeHelp =
    "Exit codes:\n"
    "  0  done\n"
    "  1  failed, or it is not known whether it took effect\n"
    "  2  wrong usage or invalid input; nothing was sent\n"
    "  3  refused; not run and never will be\n"
    "  4  lost a race; another change came first\n"
    "  5  not reachable; nothing took effect\n";

CommandResult makeResult(ExitCode Code, const nlohmann::ordered_json &Fields) {
  std::string Text;
  for (const auto &[Name, Value] : Fields.items()) {
    const std::string FieldText =
        Value.is_string() ? Value.get<std::string>() : dump(Value);
    Text.append(Name).append(": ").append(FieldText).append("\n");
  }
  return makeResult(Code, Fields, std::move(Text));
}

CommandResult makeResult(ExitCode Code, const nlohmann::ordered_json &Fields,
                         std::string Text) {
  Json Object = Fields;
  Object["exit"] = static_cast<int>(Code);
  return {Code, std::move(Text), dump(Object) + '\n'};
}

CommandResult makeFailure(ExitCode Code, const std::string &Message) {
  return makeResult(Code, {{"error", Message}}, Message + '\n');
}

CommandResult makeFaults(const std::vector<std::string> &Faults) {
  std::string Text;
  for (const std::string &Fault : Faults)
    Text.append(Fault).append("\n");
  return makeResult(ExitCode::Invalid, {{"faults", Faults}}, std::move(Text));
}

} // namespace cyclamencroft
