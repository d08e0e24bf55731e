// Sample documents and records for tests of the configuration stream.
#pragma once

#include "config/ConfigRecord.h"

#include <string>

namespace cyclamencroft {

/// A valid document with the presets "ordinary" (in effect) and "peak".
inline std::string sampleDocument(int QueueLimit = 100) {
  return "preset = \"ordinary\"\n[services.permits]\n[teams.morlaix]\n"
         "starts_per_second = 20\n[presets.ordinary]\nqueue_limit = " +
         std::to_string(QueueLimit) + "\n[presets.peak]\nhedging = true\n";
}

inline std::string documentRecord(const std::string &ChangeId,
                                  ConfigVersion Base,
                                  const std::string &Document) {
  return formatConfigRecord(DocumentChange{{ChangeId, Base, "test"}, Document});
}

inline std::string presetRecord(const std::string &ChangeId, ConfigVersion Base,
                                const std::string &Preset) {
  return formatConfigRecord(PresetSwitch{{ChangeId, Base, "test"}, Preset});
}

inline std::string snapshotRecord(ConfigVersion Version, std::uint64_t Offset,
                                  const std::string &Preset = "ordinary",
                                  int QueueLimit = 100) {
  return formatConfigRecord(
      Snapshot{Version, Offset, Preset, sampleDocument(QueueLimit)});
}

} // namespace cyclamencroft
