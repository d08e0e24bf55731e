// Interface to the platform's store: builds the requests to its keyed topics
// and parses the answers. Implemented by the adapter of a platform.
#pragma once

#include "http/HttpClient.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft {

/// One record of a keyed topic; an empty value deletes the key.
struct KeyedRecord {
  std::string m_Key;
  std::string m_Value;
  std::uint64_t m_Offset = 0;
};

/// One page of the list that holds the newest record of each key.
struct NewestPage {
  std::vector<KeyedRecord> m_Records;
  /// More keys follow after the last record of this page.
  bool m_Truncated = false;
  /// Offset after the last record of the topic.
  std::uint64_t m_End = 0;
};

/// Consecutive records, starting at the requested offset.
struct RecordBatch {
  std::vector<KeyedRecord> m_Records;
  /// Offset at which the next read starts.
  std::uint64_t m_Next = 0;
};

/// The requested records have been deleted.
struct RecordsExpired {};

struct StoreFault {
  std::string m_Message;
};

struct TopicStore {
  std::function<HttpCall(const std::string &Topic, const std::string &AfterKey)>
      m_NewestCall;
  std::function<std::variant<NewestPage, StoreFault>(const HttpResponse &)>
      m_ReadNewest;
  std::function<HttpCall(const std::string &Topic, std::uint64_t From,
                         Duration Wait)>
      m_RecordsCall;
  std::function<std::variant<RecordBatch, RecordsExpired, StoreFault>(
      const HttpResponse &, std::uint64_t From)>
      m_ReadRecords;
  std::function<HttpCall(const std::string &Topic, const KeyedRecord &)>
      m_AppendCall;
};

} // namespace cyclamencroft
