// Formats of texts in settings and in the configuration document.
#pragma once

#include <string>
#include <string_view>

namespace cyclamencroft {

/// A check of a text and what it accepts, in words that follow "must be".
struct TextFormat {
  std::string_view m_Valid;
  bool (*m_Accepts)(std::string_view Text);
};

/// "IP:port" of a listener; port 0 takes a free one.
extern const TextFormat ListenFormat;
/// "IP:port" of another process.
extern const TextFormat AddressFormat;
/// Name of a process, rack, failure domain, service, team or preset.
extern const TextFormat NameFormat;
/// A name or nothing.
extern const TextFormat OptionalNameFormat;
/// Any text, such as the path of a file.
extern const TextFormat AnyFormat;

} // namespace cyclamencroft
