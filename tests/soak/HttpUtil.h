// HTTP helpers shared by the stand-ins: request targets and JSON responses.
#pragma once

#include "http/HttpServer.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>

namespace cyclamencroft::soak {

inline std::string_view toStringView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

inline std::string requestPath(const HttpRequest &Request) {
  const std::string_view Target = toStringView(Request.target());
  return std::string(Target.substr(0, Target.find('?')));
}

/// Returns the query parameters without percent-decoding, which no call needs.
inline std::map<std::string, std::string>
queryParameters(const HttpRequest &Request) {
  std::map<std::string, std::string> Query;
  std::string_view Rest = toStringView(Request.target());
  const std::size_t Start = Rest.find('?');
  Rest = Start == std::string_view::npos ? "" : Rest.substr(Start + 1);
  while (!Rest.empty()) {
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    Rest.remove_prefix(std::min(Rest.size(), Pair.size() + 1));
    const std::size_t Sign = Pair.find('=');
    if (Sign != std::string_view::npos)
      Query.emplace(Pair.substr(0, Sign), Pair.substr(Sign + 1));
  }
  return Query;
}

inline HttpResponse jsonResponse(unsigned Status, const nlohmann::json &Body) {
  return {Status, {{"Content-Type", "application/json"}}, Body.dump()};
}

} // namespace cyclamencroft::soak
