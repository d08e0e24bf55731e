// Reads job files in TOML or JSON; both are validated by the same table of
// keys.
#pragma once

#include "cli/EntryCalls.h"
#include "settings/TomlDocument.h"

#include <optional>
#include <string>

namespace cyclamencroft {

/// Parses \p Text, as JSON when its first character that is not white space is
/// '{', else as TOML. Without a value every fault is in \p Diagnostics.
std::optional<JobFile> parseJobFile(const std::string &Text,
                                    DiagnosticList &Diagnostics);

/// Markdown reference of all keys of a job file.
std::string jobFileReference();

} // namespace cyclamencroft
