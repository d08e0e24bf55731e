// Calls to an entry's HTTP interface for callers and operators.
#pragma once

#include "cli/CommandResult.h"
#include "core/Messages.h"
#include "http/HttpTypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamencroft {

struct RequestOptions {
  std::string m_Entry;
  std::string m_Service;
  std::string m_Team;
  bool m_NonIdempotent = false;
  std::string m_Key;
  /// In ms; 0 uses the service's default.
  std::uint32_t m_DeadlineMs = 0;
  Size m_Need;
  std::string m_Body;
};

/// Contents of a job file.
struct JobFile {
  std::string m_Service;
  std::string m_Team;
  std::uint32_t m_DeadlineMs = 0;
  std::uint32_t m_Cores = 0;
  std::uint32_t m_MemoryMiB = 0;
  std::uint32_t m_Accelerators = 0;
  std::vector<std::string> m_Tasks;
};

/// Reads "cores=2,memory-mib=512,accelerators=0"; omitted parts are 0.
/// Nothing when the text is malformed.
std::optional<Size> parseNeed(std::string_view Text);

CommandResult sendRequest(const RequestOptions &Options);
CommandResult submitJob(const std::string &Entry, const JobFile &Job);
CommandResult cancelRequest(const std::string &Entry, const std::string &Id);
CommandResult showStatus(const std::string &Entry);
/// Prints one line for each agent in the entry's list.
CommandResult showAgents(const std::string &Entry);

/// Maps an entry's response to a request or job to a result with the exit code
/// for scripts.
CommandResult classifyResponse(const HttpResponse &Response,
                               const std::string &RequestId);

/// Fetches the configuration in effect at an entry. Without a value the reason
/// is in \p Failure.
std::optional<ConfigTransfer> fetchConfig(const std::string &Entry,
                                          CommandResult &Failure);

} // namespace cyclamencroft
