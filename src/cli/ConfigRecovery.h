// Restores the configuration when the log holds no usable snapshot and no entry
// is left that knows the version in effect.
#pragma once

#include "cli/ConfigPublisher.h"

#include <string>

namespace cyclamencroft {

struct RecoveryRequest {
  std::string m_LogAddress;
  /// Document that was in effect last, from version control.
  std::string m_Document;
  /// Preset to put in effect; must be one of the document.
  std::string m_Preset;
  /// Above every version that any process has adopted.
  ConfigVersion m_Version = 0;
  /// How long to wait for a snapshot of an entry before the append.
  Duration m_Patience{StreamPatience};
};

/// Appends a snapshot record once. Rejected while the version in effect is
/// known: a change is published then, not a recovery. Changes that the log
/// keeps are judged on it again by every reader.
PublishOutcome recoverConfig(const RecoveryRequest &Request);

} // namespace cyclamencroft
