// An entry: its decision core on one thread, HTTP on several, and links to
// agents and peer entries.
#pragma once

#include "config/Configuration.h"
#include "cyclamencroft/EntrySettings.h"

#include <cstdint>
#include <memory>

namespace cyclamencroft {

/// Several may run in one process.
class EntryDaemon {
public:
  class Builder {
  public:
    Builder &settings(EntrySettings Value);
    /// Seeds routing and span ids; drawn at random when not called.
    Builder &seed(std::uint64_t Value);
    /// Starts with this configuration, for benchmarks and tests without a log.
    Builder &configuration(ConfigStatePtr Value);
    /// Binds the listeners. Throws std::runtime_error that names the address
    /// when that fails.
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

  /// Refuses new work as not run, completes what is in flight, then ends; see
  /// wait(). Safe from any thread, also more than once.
  void requestShutdown();

  /// Blocks until a requested shutdown is complete or stop() was called.
  void wait();

  /// Ends at once and logs the requests that it left without a response. Not
  /// from a thread of the daemon.
  void stop();

private:
  class Impl;
  explicit EntryDaemon(std::unique_ptr<Impl> Parts);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
