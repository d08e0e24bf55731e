// Parses and formats the W3C `traceparent` header.
#pragma once

#include "core/TraceContext.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamencroft {

/// std::nullopt when \p Header is malformed; callers then start a new trace.
std::optional<TraceContext> parseTraceparent(std::string_view Header);

std::string formatTraceparent(const TraceContext &Trace);

} // namespace cyclamencroft
