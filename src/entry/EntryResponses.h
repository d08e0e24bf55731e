// Builds the HTTP responses of an entry.
#pragma once

#include "config/Configuration.h"
#include "entry/EntryCore.h"
#include "http/HttpTypes.h"

#include <string>

namespace cyclamencroft {

HttpResponse toResponse(const AnswerRequest &Answer);
HttpResponse toResponse(const AnswerJob &Answer);

/// Response to a request that is refused before it reaches the core. \p Reason
/// is a stable lower-case name and \p Detail one sentence.
HttpResponse refusalResponse(unsigned Status, const RequestId &Request,
                             std::string_view Reason, std::string_view Detail);

/// HTTP status of work that was not run for \p Reason.
unsigned statusOf(RefusalReason Reason);

/// Responses to GET /v1/status, /v1/agents and /v1/config.
HttpResponse statusResponse(const EntryStatus &Status,
                            const std::string &EntryId, std::size_t Callers);
HttpResponse agentsResponse(const std::vector<AgentReport> &Agents);
HttpResponse configResponse(const ConfigState &State);

} // namespace cyclamencroft
