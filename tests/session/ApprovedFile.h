// Comparison of a text with its approved version in a file.
#pragma once

#include <string>

namespace cyclamencroft::session {

/// Empty when \p Text equals the contents of \p File, else a diff: lines only
/// in the file with "-", lines only in \p Text with "+". With
/// CYCLAMENCROFT_APPROVE=1 in the environment the file is written instead.
std::string compareWithApproved(const std::string &File,
                                const std::string &Text);

} // namespace cyclamencroft::session
