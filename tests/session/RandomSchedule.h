// A short session with random submissions and faults, determined by its seed.
#pragma once

#include "Session.h"
#include "entry/RandomSource.h"

namespace cyclamencroft::session {

class RandomSchedule {
public:
  explicit RandomSchedule(std::uint64_t Seed);

  /// Runs the session until the first violation or its end.
  void run();

  Session &session() { return m_Session; }

private:
  SessionLayout drawLayout();
  void scheduleWork();
  void scheduleFaults();
  void scheduleProbes();
  void submit();
  void injectFault();
  void injectLinkFault(std::uint32_t Kind);
  void breakLink(const std::string &A, const std::string &B,
                 bool RestoreAtOnce);
  void duplicate(const std::string &From, const std::string &To,
                 const std::string &Type);
  void injectProcessFault(std::uint32_t Kind);
  void injectEndpointFault(std::uint32_t Kind);
  void injectCallerFault(std::uint32_t Kind);
  void changeConfig(std::uint32_t Kind);

  std::uint32_t below(std::uint32_t Bound) { return m_Random.below(Bound); }
  bool chance(std::uint32_t Percent) { return below(100) < Percent; }
  /// Random time from now until \p Span later.
  Duration randomTime(Duration Span);
  std::string randomEntry();
  std::string randomAgent();
  void atRandomTime(Duration Span, EventQueue::Callback OnDue);

  RandomSource m_Random;
  Session m_Session;
  std::uint32_t m_Submissions = 0;
};

} // namespace cyclamencroft::session
