// Open-loop load: makes the planned calls at their times, whether or not
// earlier ones have been answered.
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

/// What one call came to.
struct CallSample {
  bool m_Job = false;
  std::uint32_t m_Tasks = 1;
  /// Value of the outcome header; "no-answer" when the connection broke.
  std::string m_Outcome;
  /// Response time over the ideal.
  double m_Ratio = 0;
};

class LoadGenerator {
public:
  /// Calls go to \p Entries in turn, as a balancer would send them.
  LoadGenerator(boost::asio::io_context &Io, std::vector<std::string> Entries,
                std::string Service, std::uint32_t Slots);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator &) = delete;
  LoadGenerator &operator=(const LoadGenerator &) = delete;

  /// Takes an entry out of the rotation, as a balancer's health check does.
  void removeEntry(const std::string &Entry);

  void start(std::vector<PlannedCall> Plan);

  /// True when every planned call has its sample.
  bool finished() const;

  const std::vector<CallSample> &samples() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamencroft
