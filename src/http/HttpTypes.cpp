// Case-insensitive look-up of response headers.
#include "http/HttpTypes.h"

#include <boost/beast/core/string.hpp>

namespace cyclamencroft {

std::string_view HttpResponse::header(std::string_view Name) const {
  for (const auto &[Key, Value] : m_Headers)
    if (boost::beast::iequals(Key, Name))
      return Value;
  return {};
}

} // namespace cyclamencroft
