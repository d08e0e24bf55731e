// Records of the configuration stream and their JSON text.
#pragma once

#include "core/Ids.h"

#include <optional>
#include <string>
#include <variant>

namespace cyclamencroft {

/// What every change carries.
struct ChangeHeader {
  /// Drawn by the publisher; finds the change again after a lost reply.
  std::string m_ChangeId;
  /// Version in effect that the change was made from.
  ConfigVersion m_Base = 0;
  /// Person or program that published it; for people only.
  std::string m_Author;
};

/// Replaces the document; its own `preset` comes into effect.
struct DocumentChange {
  ChangeHeader m_Header;
  std::string m_Document;
};

/// Puts another preset of the document in effect.
struct PresetSwitch {
  ChangeHeader m_Header;
  std::string m_Preset;
};

/// The state that results from all records below an offset.
struct Snapshot {
  ConfigVersion m_Version = 0;
  /// Invariant: not above the offset of the snapshot's own record.
  std::uint64_t m_Offset = 0;
  std::string m_Preset;
  std::string m_Document;
};

using ConfigRecord = std::variant<DocumentChange, PresetSwitch, Snapshot>;

/// One JSON object on one line.
std::string formatConfigRecord(const ConfigRecord &Record);

/// Nothing when \p Text is no record; \p Reason then says why.
std::optional<ConfigRecord> parseConfigRecord(const std::string &Text,
                                              std::string &Reason);

} // namespace cyclamencroft
