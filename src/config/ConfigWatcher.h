// Follows the configuration stream of the platform's log, adopts what is
// accepted there or told by peers, and keeps the stream readable by appending
// snapshots.
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
  /// Longest wait of one read at the log. Short, so that a connection that
  /// died silently is noticed well within the 7 s for a change.
  Duration m_PollWait{std::chrono::seconds(2)};
  /// Pause after a failed read; doubles up to the longest, with jitter.
  Duration m_FirstBackoff{std::chrono::milliseconds(100)};
  Duration m_LongestBackoff{std::chrono::seconds(2)};
  /// Records before the end from which a restart reads; 0 reads all.
  std::uint64_t m_Tail = TailRecords;
  SnapshotLimits m_Snapshots;
  /// False leaves snapshots to others.
  bool m_AppendsSnapshots = true;
};

class ConfigWatcher {
public:
  /// \p OnAdopted is called on a thread of \p Io, one call at a time and with
  /// increasing versions. States passed over while the log is replayed are
  /// not told: only the last one is in effect.
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

  /// Takes a configuration from a peer entry. Safe from any thread; checked on
  /// a thread of Io.
  void offer(const ConfigTransfer &Transfer);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
