// Runs started tasks at the endpoint over a pool of persistent connections.
#pragma once

#include "agent/EndpointConnection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cyclamencroft {

/// Not thread-safe: every function runs on the only thread of the io_context.
class EndpointClient {
public:
  using Ended = std::function<void(RunEnded)>;

  /// \p OnEnded is called once for each started run that stop() doesn't
  /// interrupt.
  EndpointClient(boost::asio::io_context &Io, Ended OnEnded);

  /// Sets the endpoint that idle connections are kept for, and how many
  /// connections it accepts. Runs at another address continue.
  void setEndpoint(const std::string &Address, std::uint32_t Connections);

  void start(const StartRun &Run);
  void abort(RunId Run);

  /// Closes every connection; returns the interrupted runs.
  std::vector<StartRun> stop();

private:
  /// Idle connections are closed after this time: HTTP servers commonly close
  /// theirs after 5 s, and a request sent at that moment would be lost.
  static constexpr Duration IdleLimit = std::chrono::seconds(4);

  using ConnectionPtr = std::unique_ptr<EndpointConnection>;
  struct Busy {
    StartRun m_Run;
    ConnectionPtr m_Connection;
  };
  struct Idle {
    ConnectionPtr m_Connection;
    TimePoint m_Since{};
  };

  ConnectionPtr acquireConnection(const std::string &Address);
  void pruneIdle();
  void onEnded(RunEnded Run, bool Reusable);

  boost::asio::io_context &m_Io;
  Ended m_OnEnded;
  std::string m_Address;
  std::uint32_t m_Connections = 0;
  std::map<RunId, Busy> m_Busy;
  /// Idle connections to m_Address, the longest idle first. Invariant: idle and
  /// busy connections together are at most m_Connections, once the runs started
  /// under an earlier, higher limit have ended.
  std::deque<Idle> m_Idle;
};

} // namespace cyclamencroft
