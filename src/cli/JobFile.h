// Reads job files in TOML or JSON; both pass the same table of keys.
#pragma once

#include "cli/EntryCalls.h"
#include "settings/TomlDocument.h"

#include <optional>
#include <string>

namespace cyclamencroft {

/// Reads \p Text, which is JSON when its first character is '{'. Without a
/// value every fault is in \p Faults.
std::optional<JobFile> parseJobFile(const std::string &Text, FaultList &Faults);

/// Markdown reference of every key of a job file.
std::string jobFileReference();

} // namespace cyclamencroft
