// Reads and checks the configuration document (TOML).
#pragma once

#include "config/Configuration.h"
#include "settings/TomlDocument.h"

#include <optional>
#include <string>

namespace cyclamencroft {

/// Limit on the size of a valid document, because every entry keeps the
/// document in memory and sends it to its peers in one message. A document with
/// 590 teams is about 30 KB.
constexpr std::size_t MaxDocumentBytes = std::size_t{256} * 1024;

/// A document that passed all checks.
struct ConfigDocument {
  Configuration m_Configuration;
  /// Preset that is in effect once the document is accepted.
  std::string m_Preset;
};

/// Parses and checks \p Text. Returns nothing if it is invalid; \p Diagnostics
/// then lists every fault. A pure function, so that all readers of the stream
/// reach the same decision about a document.
std::optional<ConfigDocument> parseConfigDocument(const std::string &Text,
                                                  DiagnosticList &Diagnostics);

/// Markdown reference of every key of the document.
std::string configurationReference();

} // namespace cyclamencroft
