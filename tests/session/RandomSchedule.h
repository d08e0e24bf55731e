// A short session of random work and faults, the same for the same seed.
#pragma once

#include "Session.h"
#include "entry/RandomSource.h"

namespace cyclamencroft::session {

class RandomSchedule {
public:
  explicit RandomSchedule(std::uint64_t Seed);

  /// Runs until the first violation or the end.
  void run();

  Session &session() { return m_Session; }

private:
  SessionLayout drawLayout();
  void scheduleWork();
  void scheduleFaults();
  void scheduleProbes();
  void submit();
  void disturb();
  void disturbLink(std::uint32_t Kind);
  void breakLink(const std::string &A, const std::string &B, bool Rejoin);
  void duplicate(const std::string &From, const std::string &To,
                 const std::string &Type);
  void disturbProcess(std::uint32_t Kind);
  void disturbEndpoint(std::uint32_t Kind);
  void disturbCaller(std::uint32_t Kind);
  void operate(std::uint32_t Kind);

  std::uint32_t below(std::uint32_t Bound) { return m_Random.below(Bound); }
  bool chance(std::uint32_t Percent) { return below(100) < Percent; }
  /// A moment from now until \p Span later.
  Duration soon(Duration Span);
  std::string anyEntry();
  std::string anyAgent();
  void later(Duration Span, EventQueue::Action What);

  RandomSource m_Random;
  Session m_Session;
  std::uint32_t m_Submissions = 0;
};

} // namespace cyclamencroft::session
