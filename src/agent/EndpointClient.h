// Runs started tasks at the endpoint over a pool of kept-alive connections.
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

/// Every function runs on the one thread of the io_context.
class EndpointClient {
public:
  using Ended = std::function<void(RunEnded)>;

  /// \p OnEnded is called once for each started run that stop() doesn't cut.
  EndpointClient(boost::asio::io_context &Io, Ended OnEnded);

  /// Endpoint that idle connections are kept for, and how many connections it
  /// accepts. Runs at another address go on.
  void setEndpoint(const std::string &Address, std::uint32_t Connections);

  void start(const StartRun &Run);
  void abort(RunId Run);

  /// Closes every connection; returns the runs that this cut.
  std::vector<StartRun> stop();

private:
  /// An idle connection is closed after this long: HTTP servers commonly close
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

  ConnectionPtr takeConnection(const std::string &Address);
  void dropOldIdle();
  void onEnded(RunEnded Run, bool Reusable);

  boost::asio::io_context &m_Io;
  Ended m_OnEnded;
  std::string m_Address;
  std::uint32_t m_Connections = 0;
  std::map<RunId, Busy> m_Busy;
  /// Quiet connections to m_Address, the longest idle first. Invariant: with
  /// the busy ones at most m_Connections, once those of an earlier limit end.
  std::deque<Idle> m_Idle;
};

} // namespace cyclamencroft
