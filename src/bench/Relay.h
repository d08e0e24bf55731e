// TCP relay between two addresses that simulates network faults on request.
#pragma once

#include <memory>
#include <string>

namespace cyclamencroft {

struct RelayOptions {
  /// "IP:port"; port 0 takes a free one.
  std::string m_Listen = "127.0.0.1:0";
  std::string m_Control = "127.0.0.1:0";
  std::string m_Target;
};

/// Runs on a thread of its own. Controlled by POST /mode on the control address
/// with {"mode": M} and, for delay, "delay_ms": N:
///   pass   relays without a fault;
///   cut    closes every connection, and new ones as soon as they are accepted;
///   reset  as cut, with a TCP reset;
///   stall  keeps existing and new connections open but forwards neither bytes
///          nor the end of a stream until another mode is set;
///   stall-up, stall-down  as stall, only for data to or from the target;
///   delay  forwards each byte N ms late.
class Relay {
public:
  /// Throws std::runtime_error that names the address when it can't listen.
  explicit Relay(const RelayOptions &Options);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  std::string address() const;
  std::string controlAddress() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
