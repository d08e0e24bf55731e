// Calls to an entry's HTTP interface on behalf of callers and operators.
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
  /// 0 takes the service's default.
  std::uint32_t m_DeadlineMs = 0;
  Size m_Need;
  std::string m_Body;
};

/// A job as its file describes it.
struct JobFile {
  std::string m_Service;
  std::string m_Team;
  std::uint32_t m_DeadlineMs = 0;
  std::uint32_t m_Cores = 0;
  std::uint32_t m_MemoryMiB = 0;
  std::uint32_t m_Accelerators = 0;
  std::vector<std::string> m_Tasks;
};

/// Reads "cores=2,memory-mib=512,accelerators=0"; parts may be left out.
std::optional<Size> parseNeed(std::string_view Text);

CommandResult sendRequest(const RequestOptions &Options);
CommandResult submitJob(const std::string &Entry, const JobFile &Job);
CommandResult cancelRequest(const std::string &Entry, const std::string &Id);
CommandResult showStatus(const std::string &Entry);
/// One line for each agent that the entry knows.
CommandResult showAgents(const std::string &Entry);

/// What an entry's response to a request or job means for a script.
CommandResult judgeResponse(const HttpResponse &Response,
                            const std::string &RequestId);

/// Configuration in effect at an entry; nothing with \p Failure set when it
/// can't be had.
std::optional<ConfigTransfer> fetchConfig(const std::string &Entry,
                                          CommandResult &Failure);

} // namespace cyclamencroft
