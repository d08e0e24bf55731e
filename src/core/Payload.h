// Body of a request, task or answer: immutable and shared, so that routing,
// retries and encoding never copy it.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamencroft {

using Payload = std::shared_ptr<const std::string>;

inline Payload makePayload(std::string Bytes) {
  return std::make_shared<const std::string>(std::move(Bytes));
}

/// View of a payload; a null payload reads as empty.
inline std::string_view bytesOf(const Payload &Body) {
  return Body ? std::string_view(*Body) : std::string_view();
}

} // namespace cyclamencroft
