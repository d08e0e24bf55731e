// Follows the configuration stream of the platform's log, adopts configurations
// that are accepted there or received from peers, and appends snapshots so that
// readers of the truncated log can still determine the version in effect.
#pragma once

#include "config/Configuration.h"
#include "config/SnapshotPolicy.h"
#include "config/StreamFollower.h"
#include "core/Messages.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

struct ConfigWatcherOptions {
  /// Longest time that the log waits for records in one long poll. Short, so
  /// that a dead connection is detected well within the 7 s in which a change
  /// must take effect.
  Duration m_PollWait{std::chrono::seconds(2)};
  /// Pause after a failed read; doubles with each failure up to m_MaxBackoff,
  /// with jitter.
  Duration m_InitialBackoff{std::chrono::milliseconds(100)};
  Duration m_MaxBackoff{std::chrono::seconds(2)};
  /// Number of records before the end of the log at which a restart begins to
  /// read; 0 reads all records.
  std::uint64_t m_Tail = TailRecords;
  SnapshotLimits m_Snapshots;
  /// False when this process appends no snapshots and relies on others.
  bool m_AppendsSnapshots = true;
};

class ConfigWatcher {
public:
  /// \p OnAdopted is called on a thread of \p Io, one call at a time and with
  /// increasing versions. It is not called for intermediate states while the
  /// log is replayed: only the last one is in effect.
  ConfigWatcher(boost::asio::io_context &Io, std::string LogAddress,
                std::function<void(ConfigStatePtr)> OnAdopted,
                ConfigWatcherOptions Options = {});
  /// Same as stop().
  ~ConfigWatcher();
  ConfigWatcher(const ConfigWatcher &) = delete;
  ConfigWatcher &operator=(const ConfigWatcher &) = delete;

  void start();

  /// OnAdopted is not called after this returns.
  void stop();

  /// Processes a configuration from a peer entry. Thread-safe; the check runs
  /// on a thread of Io.
  void offer(const ConfigTransfer &Transfer);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
