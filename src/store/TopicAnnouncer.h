// Writes one record to a keyed topic and retries until the store has accepted
// it.
#pragma once

#include "core/RuntimeTimer.h"
#include "http/HttpConnectionPool.h"
#include "store/TopicStore.h"

#include <string>

namespace cyclamencroft {

class TopicAnnouncer {
public:
  /// \p Io is run by one thread.
  TopicAnnouncer(boost::asio::io_context &Io, TopicStore Store,
                 std::string Topic, KeyedRecord Record);

  void start();

private:
  void retry(const std::string &Reason);

  const TopicStore m_Store;
  const std::string m_Topic;
  const KeyedRecord m_Record;
  HttpConnectionPool m_Pool;
  RuntimeTimer m_Retry;
  bool m_Logged = false;
};

} // namespace cyclamencroft
