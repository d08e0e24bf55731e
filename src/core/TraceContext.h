// W3C trace context that is propagated with a request across every hop.
#pragma once

#include "core/Ids.h"

#include <cstdint>

namespace cyclamencroft {

/// The trace id is the request's id when the caller has sent none.
struct TraceContext {
  RequestId m_TraceId;
  std::uint64_t m_ParentSpanId = 0;
};

} // namespace cyclamencroft
