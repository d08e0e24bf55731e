// Requests to the platform's log and its answers, for the configuration
// stream.
#pragma once

#include "http/HttpClient.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// Records asked for in one read. Bounds the memory of a read to about 10 MB
/// with documents of 300 KB.
constexpr std::uint32_t RecordsARead = 32;

/// What to read.
struct LogRead {
  std::uint64_t m_From = 0;
  /// Most records in the answer.
  std::uint32_t m_Limit = RecordsARead;
};

struct LogRecord {
  std::uint64_t m_Offset = 0;
  std::string m_Data;
};

/// Answer to a read.
struct LogBatch {
  /// Offset of the first record kept.
  std::uint64_t m_First = 0;
  /// Offset that the next append will get.
  std::uint64_t m_Next = 0;
  std::vector<LogRecord> m_Records;
};

/// The record asked for is below the first one kept.
struct LogTruncated {
  std::uint64_t m_First = 0;
};

using LogReadOutcome = std::variant<LogBatch, LogTruncated, Error>;
/// Offset of the record, or an error. The append may have taken effect
/// whatever the error, except for one of the step "connect".
using LogAppendOutcome = std::variant<std::uint64_t, Error>;

/// The log waits up to \p Wait for a record.
HttpCall makeLogRead(const std::string &Address, const LogRead &Read,
                     Duration Wait);
HttpCall makeLogAppend(const std::string &Address, const std::string &Record);

LogReadOutcome parseLogRead(const std::string &Address, HttpOutcome Outcome);
LogAppendOutcome parseLogAppend(const std::string &Address,
                                HttpOutcome Outcome);

} // namespace cyclamencroft
