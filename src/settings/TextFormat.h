// Formats of texts in settings and in the configuration document.
#pragma once

#include <string>
#include <string_view>

namespace cyclamencroft {

/// A check of a text and a description of valid texts that follows "must be" in
/// fault messages.
struct TextFormat {
  std::string_view m_Valid;
  bool (*m_Accepts)(std::string_view Text);
};

/// "IP:port" of a listener; port 0 selects a free port.
extern const TextFormat ListenFormat;
/// "IP:port" of another process.
extern const TextFormat AddressFormat;
/// Name of a process, rack, failure domain, service, team or preset.
extern const TextFormat NameFormat;
/// A name or an empty text.
extern const TextFormat OptionalNameFormat;
/// Any text, such as the path of a file.
extern const TextFormat AnyFormat;

} // namespace cyclamencroft
