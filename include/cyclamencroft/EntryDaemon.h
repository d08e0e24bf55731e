// An entry process: runs the decision core on one thread and HTTP on several,
// and holds the links to agents and peer entries.
#pragma once

#include "config/Configuration.h"
#include "cyclamencroft/EntrySettings.h"

#include <cstdint>
#include <memory>

namespace cyclamencroft {

/// Several instances may run in one process.
class EntryDaemon {
public:
  class Builder {
  public:
    Builder &settings(EntrySettings Value);
    /// Seed for routing and span ids; random when not set or 0.
    Builder &seed(std::uint64_t Value);
    /// Starts with this configuration; for benchmarks and tests that run
    /// without a log.
    Builder &configuration(ConfigStatePtr Value);
    /// Binds the listeners. Throws std::runtime_error with the address when
    /// that fails, and when neither a log address nor a configuration is set.
    std::unique_ptr<EntryDaemon> build();

  private:
    EntrySettings m_Settings;
    std::uint64_t m_Seed = 0;
    ConfigStatePtr m_Configuration;
  };

  /// Same as stop().
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon &) = delete;
  EntryDaemon &operator=(const EntryDaemon &) = delete;

  /// Starts the threads. Call once.
  void start();

  std::uint16_t httpPort() const;
  std::uint16_t linkPort() const;

  /// Starts a graceful shutdown: refuses new work as not run, completes the
  /// work in flight, then ends; see wait(). Safe from any thread; may be called
  /// more than once.
  void requestShutdown();

  /// Blocks until a requested shutdown is complete or stop() was called.
  void wait();

  /// Stops at once and logs the requests that have no response yet. Must not be
  /// called from a thread of the daemon.
  void stop();

private:
  class Impl;
  explicit EntryDaemon(std::unique_ptr<Impl> Implementation);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
