// Result of a command, with the exit code that scripts rely on.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace cyclamencroft {

enum class ExitCode : int {
  Done = 0,
  /// The operation failed, or it is unknown whether it took effect.
  Failed = 1,
  /// Usage error or invalid input; nothing was sent.
  Invalid = 2,
  /// Rejected; it was not run and won't be.
  Refused = 3,
  /// Another change with the same base version was accepted first.
  LostRace = 4,
  /// The entry or log could not be reached; nothing took effect.
  NotReachable = 5,
};

/// Description of the exit codes in the output of --help.
extern const char *const ExitCodeHelp;

struct CommandResult {
  ExitCode m_Code = ExitCode::Done;
  /// Human-readable text; printed on standard output when m_Code is Done, else
  /// on standard error.
  std::string m_Text;
  /// One JSON object for --output json.
  std::string m_Json;
};

/// Formats the JSON object \p Fields as JSON and as text with one line per
/// field.
CommandResult makeResult(ExitCode Code, const nlohmann::ordered_json &Fields);

/// As above, with \p Text instead of the generated text.
CommandResult makeResult(ExitCode Code, const nlohmann::ordered_json &Fields,
                         std::string Text);

/// Result with one sentence as its error.
CommandResult makeFailure(ExitCode Code, const std::string &Message);

/// Result with code Invalid that lists the faults of an input, one per line.
CommandResult makeFaults(const std::vector<std::string> &Faults);

} // namespace cyclamencroft
