// Runs an agent on its own thread: the HTTP listener for its endpoint, the
// links to the entries, the connections to the endpoint, and the decision core
// that connects them.
#pragma once

#include "agent/AgentCore.h"
#include "cyclamencroft/AgentSettings.h"

#include <cstdint>
#include <memory>

namespace cyclamencroft {

/// Several daemons may run in one process; they share only the event log.
class AgentDaemon {
public:
  class Builder {
  public:
    explicit Builder(AgentSettings Settings);
    /// Sets a fixed incarnation for sessions that must replay; by default it is
    /// random.
    Builder &incarnation(Incarnation Value);
    std::unique_ptr<AgentDaemon> build() const;

  private:
    AgentSettings m_Settings;
    Incarnation m_Incarnation;
  };

  AgentDaemon(AgentSettings Settings, Incarnation AgentIncarnation);
  /// Same as stop().
  ~AgentDaemon();
  AgentDaemon(const AgentDaemon &) = delete;
  AgentDaemon &operator=(const AgentDaemon &) = delete;

  /// Opens the listener, connects to the entries and starts the daemon's
  /// thread. Throws std::runtime_error when the listener's address can't be
  /// used.
  void start();

  /// Port of the HTTP listener. \pre start() has returned.
  std::uint16_t httpPort() const;

  /// Starts a drain: refuses tasks that were not started, lets running tasks
  /// finish and delivers their results; wait() then returns. Safe from any
  /// thread.
  void requestShutdown();

  /// Stops without draining and logs each interrupted task. Safe from any
  /// thread except the daemon's own.
  void stop();

  /// Blocks until the daemon has drained or was stopped; returns true when it
  /// has drained.
  bool wait();

  /// Safe from any thread between start() and stop().
  AgentStatusReport status() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
