// Reads and checks the configuration document (TOML).
#pragma once

#include "config/Configuration.h"
#include "settings/TomlDocument.h"

#include <optional>
#include <string>

namespace cyclamencroft {

/// A larger document is not valid: every entry keeps it in memory and sends it
/// to its peers in one message. 590 teams take about 30 KB.
constexpr std::size_t LargestDocument = std::size_t{256} * 1024;

/// A document that passed all checks.
struct ConfigDocument {
  Configuration m_Configuration;
  /// Preset that is in effect once the document is accepted.
  std::string m_Preset;
};

/// Reads \p Text; without a value every fault is in \p Faults. Pure, so that
/// all readers of the stream reach the same decision about a document.
std::optional<ConfigDocument> parseConfigDocument(const std::string &Text,
                                                  FaultList &Faults);

/// Markdown reference of every key of the document.
std::string configurationReference();

} // namespace cyclamencroft
