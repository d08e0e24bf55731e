// Builds requests to the log and parses its JSON responses.
#include "config/LogProtocol.h"

#include <nlohmann/json.hpp>

namespace cyclamencroft {
namespace {

using Json = nlohmann::json;

const std::string StreamTarget = "/v1/streams/config/records";
const char *const ReadStep = "read log";
const char *const AppendStep = "append to log";

/// Timeout of a read in addition to the long poll's wait. With a wait of 2 s a
/// dead connection is detected after 4 s, within the 7 s in which a change must
/// take effect.
constexpr std::chrono::seconds ReadSlack{2};
/// An append usually takes several milliseconds; the timeout allows for a slow
/// log.
constexpr std::chrono::seconds AppendTimeout{5};

constexpr unsigned Ok = 200;
constexpr unsigned Gone = 410;

LogBatch batchOf(const Json &Body) {
  LogBatch Batch;
  Batch.m_First = Body.at("first").get<std::uint64_t>();
  Batch.m_Next = Body.at("next").get<std::uint64_t>();
  const Json &Records = Body.at("records");
  Batch.m_Records.reserve(Records.size());
  for (const Json &Record : Records)
    Batch.m_Records.push_back({Record.at("offset").get<std::uint64_t>(),
                               Record.at("data").get<std::string>()});
  return Batch;
}

Error unexpectedStatus(const char *Step, const std::string &Address,
                       unsigned Status) {
  return {Step, Address, "status " + std::to_string(Status)};
}

} // namespace

HttpCall makeLogRead(const std::string &Address, const LogRead &Read,
                     Duration Wait) {
  HttpCall Call;
  Call.m_Address = Address;
  const auto WaitMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Wait).count();
  Call.m_Target = StreamTarget + "?from=" + std::to_string(Read.m_From) +
                  "&limit=" + std::to_string(Read.m_Limit) +
                  "&wait_ms=" + std::to_string(WaitMs);
  Call.m_Timeout = Wait + ReadSlack;
  return Call;
}

HttpCall makeLogAppend(const std::string &Address, const std::string &Record) {
  HttpCall Call;
  Call.m_Address = Address;
  Call.m_Method = "POST";
  Call.m_Target = StreamTarget;
  Call.m_Body = Record;
  Call.m_Timeout = AppendTimeout;
  return Call;
}

LogReadOutcome parseLogRead(const std::string &Address, HttpOutcome Outcome) {
  if (const auto *Fault = std::get_if<Error>(&Outcome))
    return *Fault;
  const auto &Response = std::get<HttpResponse>(Outcome);
  if (Response.m_Status != Ok && Response.m_Status != Gone)
    return unexpectedStatus(ReadStep, Address, Response.m_Status);
  try {
    const Json Body = Json::parse(Response.m_Body);
    if (Response.m_Status == Gone)
      return LogTruncated{Body.at("first").get<std::uint64_t>()};
    return batchOf(Body);
  } catch (const std::exception &Fault) {
    return Error{ReadStep, Address, Fault.what()};
  }
}

LogAppendOutcome parseLogAppend(const std::string &Address,
                                HttpOutcome Outcome) {
  if (const auto *Fault = std::get_if<Error>(&Outcome))
    return *Fault;
  const auto &Response = std::get<HttpResponse>(Outcome);
  if (Response.m_Status != Ok)
    return unexpectedStatus(AppendStep, Address, Response.m_Status);
  try {
    return Json::parse(Response.m_Body).at("offset").get<std::uint64_t>();
  } catch (const std::exception &Fault) {
    return Error{AppendStep, Address, Fault.what()};
  }
}

} // namespace cyclamencroft
