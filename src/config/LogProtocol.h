// Requests to the platform's log for the configuration stream, and its
// responses.
#pragma once

#include "http/HttpClient.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// Limit on the records of one read. Bounds the memory of a read to about 10 MB
/// with documents of 300 KB.
constexpr std::uint32_t MaxRecordsPerRead = 32;

/// Parameters of a read.
struct LogRead {
  std::uint64_t m_From = 0;
  /// Maximum number of records in the response.
  std::uint32_t m_Limit = MaxRecordsPerRead;
};

struct LogRecord {
  std::uint64_t m_Offset = 0;
  std::string m_Data;
};

/// Response to a read.
struct LogBatch {
  /// Offset of the first retained record.
  std::uint64_t m_First = 0;
  /// Offset of the next record to be appended.
  std::uint64_t m_Next = 0;
  std::vector<LogRecord> m_Records;
};

/// Response to a read below the first retained record.
struct LogTruncated {
  /// Offset of the first retained record.
  std::uint64_t m_First = 0;
};

using LogReadOutcome = std::variant<LogBatch, LogTruncated, Error>;
/// Offset of the appended record, or an error. After any error except one in
/// the step "connect" the append may nevertheless have taken effect.
using LogAppendOutcome = std::variant<std::uint64_t, Error>;

/// Long poll: the log waits up to \p Wait for a record.
HttpCall makeLogRead(const std::string &Address, const LogRead &Read,
                     Duration Wait);
HttpCall makeLogAppend(const std::string &Address, const std::string &Record);

LogReadOutcome parseLogRead(const std::string &Address, HttpOutcome Outcome);
LogAppendOutcome parseLogAppend(const std::string &Address,
                                HttpOutcome Outcome);

} // namespace cyclamencroft
