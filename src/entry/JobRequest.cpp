// Reads by SAX events, so that duplicate keys and the place of a fault are
// known and nothing is built for a job that is refused.
#include "entry/JobRequest.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

class JobReader : public nlohmann::json_sax<Json> {
public:
  JobRequest m_Job;

  bool null() override { return value("null"); }
  bool boolean(bool) override { return value("a boolean"); }
  bool number_integer(number_integer_t) override { return value("a number"); }
  bool number_unsigned(number_unsigned_t) override { return value("a number"); }
  bool number_float(number_float_t, const string_t &) override {
    return value("a number");
  }
  bool binary(binary_t &) override { return value("binary data"); }

  bool string(string_t &Text) override {
    if (m_Place != Place::Tasks)
      return value("a string");
    if (m_Job.m_Tasks.size() == MaxTasksPerJob)
      return fault("tasks: more than " + std::to_string(MaxTasksPerJob));
    if (Text.size() > MaxRequestBytes)
      return fault(task() + ": " + std::to_string(Text.size()) +
                   " bytes, at most " + std::to_string(MaxRequestBytes));
    m_Job.m_Tasks.push_back(makePayload(std::move(Text)));
    return true;
  }

  bool start_object(std::size_t) override {
    if (m_Place != Place::Start)
      return value("an object");
    m_Place = Place::Object;
    return true;
  }

  bool key(string_t &Name) override {
    if (Name != "tasks")
      return fault("unknown key \"" + Name + "\"; valid: \"tasks\"");
    if (m_HasTasks)
      return fault("key \"tasks\" appears twice");
    m_HasTasks = true;
    m_Place = Place::TasksValue;
    return true;
  }

  bool end_object() override {
    if (!m_HasTasks)
      return fault("key \"tasks\" is missing");
    if (m_Job.m_Tasks.empty())
      return fault("tasks: empty; 1 to " + std::to_string(MaxTasksPerJob) +
                   " are valid");
    return true;
  }

  bool start_array(std::size_t) override {
    if (m_Place != Place::TasksValue)
      return value("an array");
    m_Place = Place::Tasks;
    return true;
  }

  bool end_array() override {
    m_Place = Place::Object;
    return true;
  }

  bool parse_error(std::size_t Byte, const std::string &Token,
                   const nlohmann::detail::exception &) override {
    return fault("malformed JSON at byte " + std::to_string(Byte) +
                 (Token.empty() ? "" : ", near \"" + Token + "\""));
  }

private:
  enum class Place { Start, Object, TasksValue, Tasks };

  std::string task() const {
    return "tasks[" + std::to_string(m_Job.m_Tasks.size()) + "]";
  }

  /// A value of the wrong type.
  bool value(const std::string &Found) {
    switch (m_Place) {
    case Place::Start:
      return fault("expected an object, found " + Found);
    case Place::Tasks:
      return fault(task() + ": expected a string, found " + Found);
    default:
      return fault("tasks: expected an array, found " + Found);
    }
  }

  bool fault(std::string What) {
    m_Job.m_Fault = std::move(What);
    return false;
  }

  Place m_Place = Place::Start;
  bool m_HasTasks = false;
};

} // namespace

JobRequest parseJobRequest(std::string_view Text) {
  if (Text.size() > MaxJobBytes)
    return {{},
            "job of " + std::to_string(Text.size()) + " bytes, at most " +
                std::to_string(MaxJobBytes)};
  JobReader Reader;
  Json::sax_parse(Text.begin(), Text.end(), &Reader);
  if (!Reader.m_Job.m_Fault.empty())
    Reader.m_Job.m_Tasks.clear();
  return std::move(Reader.m_Job);
}

} // namespace cyclamencroft
