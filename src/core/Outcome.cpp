// Stable names of outcomes and refusal reasons.
#include "core/Outcome.h"

namespace cyclamencroft {

std::string_view toString(Outcome Value) {
  switch (Value) {
  case Outcome::Completed:
    return "completed";
  case Outcome::Failed:
    return "failed";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Cancelled:
    return "cancelled";
  }
  return "invalid";
}

std::string_view toString(RefusalReason Value) {
  switch (Value) {
  case RefusalReason::None:
    return "none";
  case RefusalReason::NoSlot:
    return "no-slot";
  case RefusalReason::Draining:
    return "leaving";
  case RefusalReason::DeadlinePassed:
    return "deadline-passed";
  case RefusalReason::SequenceRepeated:
    return "sequence-repeated";
  case RefusalReason::EndpointAbsent:
    return "endpoint-absent";
  case RefusalReason::QueueFull:
    return "queue-full";
  case RefusalReason::WaitPastDeadline:
    return "wait-past-deadline";
  case RefusalReason::QuotaExceeded:
    return "quota-exceeded";
  case RefusalReason::UnknownService:
    return "unknown-service";
  case RefusalReason::UnknownTeam:
    return "unknown-team";
  case RefusalReason::NoEndpoint:
    return "no-endpoint";
  case RefusalReason::SizeFitsNoEndpoint:
    return "size-fits-no-endpoint";
  case RefusalReason::ShuttingDown:
    return "shutting-down";
  case RefusalReason::PresetRefuses:
    return "preset-refuses";
  case RefusalReason::NoConfiguration:
    return "no-configuration";
  case RefusalReason::RepeatedKey:
    return "repeated-key";
  case RefusalReason::Cancelled:
    return "cancelled";
  case RefusalReason::RetryBudgetSpent:
    return "retry-budget-spent";
  }
  return "invalid";
}

} // namespace cyclamencroft
