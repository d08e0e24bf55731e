// Session scripts: a deployment and timed commands, one per line.
//
//   deployment eaux entries=2 workers=11 slots=8
//   at 100ms request r1 e1 run=200ms mode=ok non-idempotent deadline=2s
//   at 100ms job j1 e2 tasks=20 run=100ms team=billing
//   at 150ms kill w3
//   end 5s
//
// Lines that start with # are comments. See Script.cpp for all commands.
#pragma once

#include "Session.h"

#include <string>

namespace cyclamencroft::session {

/// Transcript and invariant violations of a script.
struct ScriptResult {
  std::string m_Transcript;
  std::vector<std::string> m_Violations;
};

/// Runs the script in \p File. Throws std::runtime_error with file and line
/// for a line that cannot be parsed or executed.
ScriptResult runScript(const std::string &File);

} // namespace cyclamencroft::session
