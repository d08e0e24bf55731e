// How an attempt, request or job ended, and why work was refused.
#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamencroft {

/// Final state of a request, job or single task.
enum class Outcome : std::uint8_t {
  Completed = 0, ///< Ran once; the complete answer was received.
  Failed = 1,    ///< Ran and failed; the answer gives the error.
  NotRun = 2,    ///< Refused; was not started and never will be.
  Unknown = 3,   ///< May or may not have run; can't be determined.
  Cancelled = 4, ///< The caller cancelled it; parts may have run.
};

/// Why work was refused without having been started.
enum class RefusalReason : std::uint8_t {
  None = 0,
  NoSlot = 1,              ///< All slots of the endpoint are busy.
  Draining = 2,            ///< The endpoint or agent is draining.
  DeadlinePassed = 3,      ///< Too late to start.
  SequenceRepeated = 4,    ///< The window already has this sequence.
  EndpointAbsent = 5,      ///< The endpoint's lease has expired.
  QueueFull = 6,           ///< The entry's queue limit is reached.
  WaitPastDeadline = 7,    ///< The expected wait ends after the deadline.
  QuotaExceeded = 8,       ///< The team's quota is used up.
  UnknownService = 9,      ///< The configuration has no such service.
  UnknownTeam = 10,        ///< The configuration has no such team.
  NoEndpoint = 11,         ///< No endpoint of the service is connected.
  SizeFitsNoEndpoint = 12, ///< No endpoint is large enough; can never run.
  ShuttingDown = 13,       ///< The entry is shutting down.
  PresetRefuses = 14,      ///< The current preset accepts no new work.
  NoConfiguration = 15,    ///< The entry has no configuration it may use.
  RepeatedKey = 16,        ///< The key is in use or was used recently.
  Cancelled = 17,          ///< Cancelled before it was started.
  RetryBudgetSpent = 18,   ///< Not run; the retry budget allows no retry.
};

/// Stable lower-case names for logs, metrics and answers.
std::string_view toString(Outcome Value);
std::string_view toString(RefusalReason Value);

} // namespace cyclamencroft
