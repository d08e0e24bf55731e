// What a command reports and the exit code that scripts rely on.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cyclamencroft {

enum class ExitCode : int {
  Done = 0,
  /// The work failed, or it is not known whether it took effect.
  Failed = 1,
  /// Wrong usage or invalid input; nothing was sent.
  Invalid = 2,
  /// Refused; not run and never will be.
  Refused = 3,
  /// Another change came first.
  LostRace = 4,
  /// The other side could not be reached; nothing took effect.
  NotReachable = 5,
};

/// Text of --help.
extern const char *const ExitCodeHelp;

struct CommandResult {
  ExitCode m_Code = ExitCode::Done;
  /// For people; goes to standard output when m_Code is Done, else to standard
  /// error.
  std::string m_Text;
  /// One JSON object for --output json.
  std::string m_Json;
};

/// Reports \p Fields, an object, in both forms; the text has one line a field.
CommandResult makeResult(ExitCode Code, const nlohmann::ordered_json &Fields);

/// As above with a text of its own.
CommandResult makeResult(ExitCode Code, const nlohmann::ordered_json &Fields,
                         std::string Text);

/// Reports one sentence.
CommandResult makeFailure(ExitCode Code, const std::string &Message);

/// Reports faults of an input, one a line.
CommandResult makeFaults(const std::vector<std::string> &Faults);

} // namespace cyclamencroft
