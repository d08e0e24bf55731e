// Parses by SAX events, so that duplicate keys and the position of an error are
// known and no document is built for a job that is refused.
#include "entry/JobRequest.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

class JobReader : public nlohmann::json_sax<Json> {
public:
  JobRequest m_Job;

  bool null() override { return rejectValue("null"); }
  bool boolean(bool) override { return rejectValue("a boolean"); }
  bool number_integer(number_integer_t) override {
    return rejectValue("a number");
  }
  bool number_unsigned(number_unsigned_t) override {
    return rejectValue("a number");
  }
  bool number_float(number_float_t, const string_t &) override {
    return rejectValue("a number");
  }
  bool binary(binary_t &) override { return rejectValue("binary data"); }

  bool string(string_t &Text) override {
    if (m_State != ParseState::Tasks)
      return rejectValue("a string");
    if (m_Job.m_Tasks.size() == MaxTasksPerJob)
      return fail("tasks: more than " + std::to_string(MaxTasksPerJob));
    if (Text.size() > MaxRequestBytes)
      return fail(taskPath() + ": " + std::to_string(Text.size()) +
                  " bytes, at most " + std::to_string(MaxRequestBytes));
    m_Job.m_Tasks.push_back(makePayload(std::move(Text)));
    return true;
  }

  bool start_object(std::size_t) override {
    if (m_State != ParseState::Start)
      return rejectValue("an object");
    m_State = ParseState::Object;
    return true;
  }

  bool key(string_t &Name) override {
    if (Name != "tasks")
      return fail("unknown key \"" + Name + "\"; valid: \"tasks\"");
    if (m_HasTasks)
      return fail("key \"tasks\" appears twice");
    m_HasTasks = true;
    m_State = ParseState::TasksValue;
    return true;
  }

  bool end_object() override {
    if (!m_HasTasks)
      return fail("key \"tasks\" is missing");
    if (m_Job.m_Tasks.empty())
      return fail("tasks: empty; 1 to " + std::to_string(MaxTasksPerJob) +
                  " are valid");
    return true;
  }

  bool start_array(std::size_t) override {
    if (m_State != ParseState::TasksValue)
      return rejectValue("an array");
    m_State = ParseState::Tasks;
    return true;
  }

  bool end_array() override {
    m_State = ParseState::Object;
    return true;
  }

  bool parse_error(std::size_t Byte, const std::string &Token,
                   const nlohmann::detail::exception &) override {
    return fail("malformed JSON at byte " + std::to_string(Byte) +
                (Token.empty() ? "" : ", near \"" + Token + "\""));
  }

private:
  enum class ParseState { Start, Object, TasksValue, Tasks };

  /// Path of the next task in the body.
  std::string taskPath() const {
    return "tasks[" + std::to_string(m_Job.m_Tasks.size()) + "]";
  }

  /// Stops the parse because of a value of the wrong type.
  bool rejectValue(const std::string &Found) {
    switch (m_State) {
    case ParseState::Start:
      return fail("expected an object, found " + Found);
    case ParseState::Tasks:
      return fail(taskPath() + ": expected a string, found " + Found);
    default:
      return fail("tasks: expected an array, found " + Found);
    }
  }

  /// Stops the parse with an error; the SAX parser ends on false.
  bool fail(std::string Message) {
    m_Job.m_Error = std::move(Message);
    return false;
  }

  ParseState m_State = ParseState::Start;
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
  if (!Reader.m_Job.m_Error.empty())
    Reader.m_Job.m_Tasks.clear();
  return std::move(Reader.m_Job);
}

} // namespace cyclamencroft
