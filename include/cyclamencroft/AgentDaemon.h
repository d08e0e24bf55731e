// An agent as a running process part: HTTP listener for its endpoint, links to
// the entries, connections to the endpoint, and the decision core between them.
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
    /// For sessions that must replay; drawn at random otherwise.
    Builder &incarnation(Incarnation Value);
    std::unique_ptr<AgentDaemon> build() const;

  private:
    AgentSettings m_Settings;
    Incarnation m_Incarnation;
  };

  AgentDaemon(AgentSettings Settings, Incarnation Life);
  /// Same as stop().
  ~AgentDaemon();
  AgentDaemon(const AgentDaemon &) = delete;
  AgentDaemon &operator=(const AgentDaemon &) = delete;

  /// Listens, dials the entries and starts the daemon's thread. Throws
  /// std::runtime_error when the listener's address can't be used.
  void start();

  /// Port of the HTTP listener. \pre start() has returned.
  std::uint16_t httpPort() const;

  /// Gives back what was not started, lets running tasks end and hands over
  /// their results; wait() then returns. Safe from any thread.
  void requestShutdown();

  /// Ends at once and logs each task that this cuts. Safe from any thread but
  /// the daemon's own.
  void stop();

  /// Blocks until the daemon has drained or was stopped; true when it drained.
  bool wait();

  /// Safe from any thread between start() and stop().
  AgentStatusReport status() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
