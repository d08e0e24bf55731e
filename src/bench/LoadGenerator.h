// Open-loop load generator: sends each planned call at its time, whether or not
// earlier calls have completed.
#pragma once

#include "bench/Workload.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace cyclamencroft {

/// Result of one call.
struct CallSample {
  bool m_Job = false;
  std::uint32_t m_Tasks = 1;
  /// Value of the outcome header, or "status-N" when a response lacks it;
  /// "no-answer" when no response was received.
  std::string m_Outcome;
  /// Response time divided by the ideal response time.
  double m_Ratio = 0;
};

class LoadGenerator {
public:
  /// Sends calls to \p Entries in round-robin order, as a load balancer does.
  LoadGenerator(boost::asio::io_context &Io, std::vector<std::string> Entries,
                std::string Service, std::uint32_t Slots);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Removes an entry from the rotation, as the health check of a load balancer
  /// does.
  void removeEntry(const std::string &Entry);

  void start(std::vector<PlannedCall> Plan);

  /// True when every planned call has a sample.
  bool finished() const;

  const std::vector<CallSample> &samples() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
