// Restores the configuration when the log holds no usable snapshot and no
// running entry has the version in effect.
#pragma once

#include "cli/ConfigPublisher.h"

#include <string>

namespace cyclamencroft {

struct RecoveryRequest {
  std::string m_LogAddress;
  /// Last document in effect, from version control.
  std::string m_Document;
  /// Preset to put in effect; must be defined in the document.
  std::string m_Preset;
  /// New version; must be above every version that any process has adopted.
  ConfigVersion m_Version = 0;
  /// Timeout for a snapshot from an entry before the append.
  Duration m_Timeout{StreamTimeout};
};

/// Appends a snapshot record once. Rejected while the version in effect is
/// known, since a change can be published then. Every reader decides again,
/// based on the snapshot, about the changes that the log still holds.
PublishOutcome recoverConfig(const RecoveryRequest &Request);

} // namespace cyclamencroft
