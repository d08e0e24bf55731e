// Converts records to and from JSON. Unknown members are ignored; missing ones
// are errors.
#include "config/ConfigRecord.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

Json headerJson(const ChangeHeader &Header, const char *Kind) {
  return {{"kind", Kind},
          {"change", Header.m_ChangeId},
          {"base", Header.m_Base},
          {"author", Header.m_Author}};
}

Json toObject(const DocumentChange &Change) {
  Json Object = headerJson(Change.m_Header, "document");
  Object["document"] = Change.m_Document;
  return Object;
}

Json toObject(const PresetSwitch &Change) {
  Json Object = headerJson(Change.m_Header, "preset");
  Object["preset"] = Change.m_Preset;
  return Object;
}

Json toObject(const Snapshot &State) {
  return {{"kind", "snapshot"},
          {"version", State.m_Version},
          {"offset", State.m_Offset},
          {"preset", State.m_Preset},
          {"document", State.m_Document}};
}

std::uint64_t countOf(const Json &Object, const char *Member) {
  const Json &Value = Object.at(Member);
  // A negative or fractional number would otherwise be converted silently.
  if (!Value.is_number_unsigned())
    throw std::invalid_argument(std::string(Member) +
                                " is not a whole number of at least 0");
  return Value.get<std::uint64_t>();
}

ChangeHeader headerOf(const Json &Object) {
  ChangeHeader Header;
  Header.m_ChangeId = Object.at("change").get<std::string>();
  Header.m_Base = countOf(Object, "base");
  Header.m_Author = Object.at("author").get<std::string>();
  return Header;
}

ConfigRecord recordOf(const Json &Object) {
  const auto Kind = Object.at("kind").get<std::string>();
  if (Kind == "document")
    return DocumentChange{headerOf(Object),
                          Object.at("document").get<std::string>()};
  if (Kind == "preset")
    return PresetSwitch{headerOf(Object),
                        Object.at("preset").get<std::string>()};
  if (Kind == "snapshot")
    return Snapshot{countOf(Object, "version"), countOf(Object, "offset"),
                    Object.at("preset").get<std::string>(),
                    Object.at("document").get<std::string>()};
  throw std::invalid_argument("unknown kind \"" + Kind + '"');
}

} // namespace

std::string formatConfigRecord(const ConfigRecord &Record) {
  const Json Object =
      std::visit([](const auto &Kind) { return toObject(Kind); }, Record);
  // By default dump() throws on invalid UTF-8. Replacing it keeps the record
  // readable, and the changed document still has to pass all checks.
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ConfigRecord> parseConfigRecord(const std::string &Text,
                                              std::string &Reason) {
  try {
    return recordOf(Json::parse(Text));
  } catch (const std::exception &Fault) {
    Reason = Fault.what();
    return std::nullopt;
  }
}

} // namespace cyclamencroft
