// Follows a keyed topic of the platform's store: reads the newest record of
// each key first, then later records as they are appended. After a gap, keys
// that no longer exist are delivered as deleted.
#pragma once

#include "core/RuntimeTimer.h"
#include "http/HttpConnectionPool.h"
#include "store/TopicStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace cyclamencroft {

class TopicFollower {
public:
  struct Options {
    std::string m_Topic;
    /// Only records with this key are delivered; empty for all keys.
    std::string m_Key;
    /// How long a read may wait at the store for a record. Bounds how long an
    /// unresponsive connection can delay a record.
    Duration m_Wait{std::chrono::milliseconds(700)};
  };
  using Handler = std::function<void(const KeyedRecord &)>;
  /// Called when all records before an offset have been delivered.
  using PositionHandler = std::function<void(std::uint64_t End)>;

  /// \p Io is run by one thread, on which the handlers are called.
  TopicFollower(boost::asio::io_context &Io, TopicStore Store, Options Opts,
                Handler Handle, PositionHandler OnPosition = nullptr);
  ~TopicFollower();
  TopicFollower(const TopicFollower &) = delete;
  TopicFollower &operator=(const TopicFollower &) = delete;

  void start();

private:
  void readNewest(const std::string &AfterKey);
  void onNewestResponse(const HttpOutcome &Outcome);
  void readRecords();
  void onRecordsResponse(const HttpOutcome &Outcome);
  void deliver(const KeyedRecord &Record);
  void deliverDeletions();
  void reportPosition(std::uint64_t End);
  void handleFault(const std::string &Reason);
  void markReachable();
  void retry();

  const TopicStore m_Store;
  const Options m_Options;
  const Handler m_Handle;
  const PositionHandler m_OnPosition;
  HttpConnectionPool m_Pool;
  RuntimeTimer m_Retry;
  /// The newest records have been read; m_Next is the offset of the next read.
  bool m_Following = false;
  std::uint64_t m_Next = 0;
  /// End of the topic when the first page of newest records was read. Reading
  /// continues here, because later pages may miss records appended since then.
  std::uint64_t m_EndAtFirstPage = 0;
  bool m_FirstPage = true;
  /// Keys that were delivered with a value.
  std::set<std::string> m_Keys;
  /// Keys on the pages of newest records that were read since the first one.
  std::set<std::string> m_ListedKeys;
  bool m_Reachable = true;
};

} // namespace cyclamencroft
