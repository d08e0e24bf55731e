// Frames of a link: a CBOR array of messages, each an array of its type number
// and its fields in the order of Messages.h.
#pragma once

#include "core/Error.h"
#include "core/Messages.h"

#include <boost/core/span.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

/// Larger frames are rejected. A frame can hold a configuration document of
/// 1 MiB, or the largest response (256 KiB) of all 8 slots of an endpoint at
/// once.
constexpr std::size_t MaxFrameBytes = std::size_t(4) * 1024 * 1024;

/// Name of the message's type, as in Messages.h.
std::string_view messageName(const LinkMessage &Message);

/// Encodes all messages in one frame.
std::string encodeFrame(boost::span<const LinkMessage> Messages);

/// Strict: a wrong type, a missing or extra field, a value out of range, an
/// oversized frame and trailing bytes each fail with an error whose text names
/// the message and the field.
Result<std::vector<LinkMessage>> decodeFrame(std::string_view Frame);

} // namespace cyclamencroft
