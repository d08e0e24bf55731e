// Response of an HTTP exchange, on both sides.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamencroft {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpResponse {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
  /// Client side: the request was sent a second time after the connection of
  /// the first one was lost. The first one may have taken effect as well, or
  /// may do so later.
  bool m_Resent = false;

  /// First header with this name, compared without case; empty when absent.
  std::string_view header(std::string_view Name) const;
};

} // namespace cyclamencroft
