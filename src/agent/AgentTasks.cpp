// Handling of dispatches, runs and results in the agent's core.
#include "agent/AgentCoreImpl.h"

#include <algorithm>
#include <utility>

namespace cyclamencroft {
namespace {

/// Upper bound of the time left in a dispatch, far above any service's
/// deadline. Larger values are reduced to it, so that a malformed one can't
/// overflow the clock.
constexpr Duration MaxTimeLeft = std::chrono::hours(1);

} // namespace

void AgentCore::Impl::onMessage(EntrySession &Session,
                                const Dispatch &Message) {
  if (Message.m_Floor > Message.m_Sequence) {
    closeLink(Session, "dispatch " + std::to_string(Message.m_Sequence) +
                           " is below its own floor " +
                           std::to_string(Message.m_Floor));
    return;
  }
  raiseFloor(Session, Message.m_Floor);
  const Duration Delay = Session.m_Delay.excessDelay(m_Now, Message.m_SentAt);
  switch (Session.m_Window.admit(Message.m_Sequence)) {
  case Admission::Admitted:
    accept(Session, Message, Delay);
    return;
  case Admission::Repeated:
    answerRepeated(Session, Message);
    return;
  case Admission::BelowFloor:
    // The task may have run, so it is not refused as "not run".
    log("dispatch-below-floor",
        {{"peer", Session.m_EntryId},
         {"sequence", std::to_string(Message.m_Sequence)}});
    return;
  case Admission::BeyondWindow:
    // The window can't record it, so neither starting nor refusing it is safe.
    closeLink(Session, "dispatch " + std::to_string(Message.m_Sequence) +
                           " is beyond the window, whose floor is " +
                           std::to_string(Session.m_Window.floor()));
    return;
  }
}

void AgentCore::Impl::accept(EntrySession &Session, const Dispatch &Message,
                             Duration Delay) {
  WaitingTask Task;
  Task.m_Key = {indexOf(Session), Session.m_WindowId, Message.m_Sequence};
  Task.m_Request = Message.m_Request;
  Task.m_TaskIndex = Message.m_TaskIndex;
  Task.m_Trace = Message.m_Trace;
  Task.m_Deadline =
      m_Now + std::clamp(Message.m_TimeLeft, Duration(0), MaxTimeLeft) - Delay;
  Task.m_Body = Message.m_Body;
  const RefusalReason Reason = refusalFor(Session, Task);
  if (Reason != RefusalReason::None)
    refuse(Task.m_Key, Task.m_Request, Reason);
  else
    m_Waiting.push(std::move(Task)); // applyChanges() starts it when first.
}

RefusalReason AgentCore::Impl::refusalFor(const EntrySession &Session,
                                          const WaitingTask &Task) const {
  if (const RefusalReason Closed = closedReason();
      Closed != RefusalReason::None)
    return Closed;
  if (Session.m_EndpointChangePing)
    return RefusalReason::Draining;
  if (Task.m_Deadline <= m_Now)
    return RefusalReason::DeadlinePassed;
  const bool StartsNow = m_Gate.hasCapacity() && m_Waiting.empty();
  if (!StartsNow && m_Waiting.size() >= m_View.m_AgentQueue)
    return RefusalReason::NoSlot;
  return RefusalReason::None;
}

void AgentCore::Impl::answerRepeated(EntrySession &Session,
                                     const Dispatch &Message) {
  const Sequence Number = Message.m_Sequence;
  const DispatchState State = Session.m_Window.stateOf(Number);
  log("dispatch-repeated", {{"peer", Session.m_EntryId},
                            {"request", Message.m_Request.toHex()},
                            {"sequence", std::to_string(Number)}});
  if (State == DispatchState::Fenced)
    send(Session, TaskRefused{Number, RefusalReason::SequenceRepeated, load()});
  if (State == DispatchState::Finished && Session.m_Results.find(Number))
    resendResult(Session, Number);
}

// The stored load is as old as the result; an entry that used it would dispatch
// to slots that are busy by now. The current load is sent instead.
void AgentCore::Impl::resendResult(EntrySession &Session, Sequence Number) {
  TaskResult Result = *Session.m_Results.find(Number);
  Result.m_Running = load();
  send(Session, std::move(Result));
}

// The entry has abandoned waiting tasks below its floor, so they are dropped.
void AgentCore::Impl::raiseFloor(EntrySession &Session, Sequence Floor) {
  const std::uint64_t Window = Session.m_WindowId;
  m_Waiting.take([Window, Floor](const WaitingTask &T) {
    return T.m_Key.m_WindowId == Window && T.m_Key.m_Sequence < Floor;
  });
  Session.m_Window.raiseFloor(Floor);
  Session.m_Results.dropBelow(Floor);
}

void AgentCore::Impl::refuse(const DispatchKey &Key, const RequestId &Request,
                             RefusalReason Reason) {
  EntrySession &Session = m_Sessions[Key.m_Entry];
  Session.m_Window.mark(Key.m_Sequence, DispatchState::Fenced);
  ++m_Counters.m_Refusals;
  // NoSlot is not logged: full slots are normal under load and would flood the
  // log.
  if (Reason != RefusalReason::NoSlot)
    log("task-refused", {{"peer", Session.m_EntryId},
                         {"request", Request.toHex()},
                         {"sequence", std::to_string(Key.m_Sequence)},
                         {"reason", std::string(toString(Reason))}});
  if (Session.m_HelloReceived)
    send(Session, TaskRefused{Key.m_Sequence, Reason, load()});
}

void AgentCore::Impl::refuseWaiting(const WaitingTasks::Condition &Predicate,
                                    RefusalReason Reason) {
  for (const WaitingTask &Task : m_Waiting.take(Predicate))
    refuse(Task.m_Key, Task.m_Request, Reason);
}

void AgentCore::Impl::startWaiting() {
  while (!m_Waiting.empty() && m_Gate.hasCapacity())
    start(m_Waiting.pop());
}

void AgentCore::Impl::start(WaitingTask Task) {
  const RunId Run{m_NextRunId++};
  RunningTask Started;
  Started.m_Key = Task.m_Key;
  Started.m_Request = Task.m_Request;
  Started.m_Trace = Task.m_Trace;
  Started.m_SpanId = drawSpanId();
  Started.m_Start = m_Now;
  Started.m_Deadline = Task.m_Deadline;
  Started.m_EndpointAddress = m_Lease.endpoint().m_Address;

  StartRun Command;
  Command.m_Run = Run;
  Command.m_EndpointAddress = Started.m_EndpointAddress;
  Command.m_Request = Task.m_Request;
  Command.m_TaskIndex = Task.m_TaskIndex;
  Command.m_Trace = {Task.m_Trace.m_TraceId, Started.m_SpanId};
  Command.m_Deadline = Task.m_Deadline;
  Command.m_Body = std::move(Task.m_Body);

  m_Sessions[Task.m_Key.m_Entry].m_Window.mark(Task.m_Key.m_Sequence,
                                               DispatchState::Running);
  m_Gate.acquire();
  ++m_Counters.m_Starts;
  m_Running.emplace(Run, std::move(Started));
  m_Commands->push_back(std::move(Command));
}

void AgentCore::Impl::onEvent(const RunEnded &Event) {
  const auto Found = m_Running.find(Event.m_Run);
  if (Found == m_Running.end())
    return;
  const RunningTask Run = std::move(Found->second);
  m_Running.erase(Found);
  m_Gate.release(Run.m_EndpointAddress);
  m_Commands->push_back(SpanEnded{Run.m_Trace, Run.m_SpanId, "run at endpoint",
                                  Run.m_EndpointAddress, Run.m_Start, m_Now,
                                  Event.m_Outcome != Outcome::Completed});
  finish(Run, Event);
}

void AgentCore::Impl::finish(const RunningTask &Run, const RunEnded &End) {
  const bool Unreached = End.m_Outcome == Outcome::NotRun;
  const RefusalReason Reason =
      Unreached ? unreachedReason(Run) : RefusalReason::None;
  if (Reason == RefusalReason::EndpointAbsent &&
      Run.m_EndpointAddress == m_Lease.endpoint().m_Address)
    m_Lease.revoke();
  EntrySession &Session = m_Sessions[Run.m_Key.m_Entry];
  if (Session.m_WindowId != Run.m_Key.m_WindowId ||
      !Session.m_Window.contains(Run.m_Key.m_Sequence))
    return;
  if (Unreached) {
    reportChanges(Session); // Before the entry gets the refusal.
    refuse(Run.m_Key, Run.m_Request, Reason);
    return;
  }
  TaskResult Result;
  Result.m_Sequence = Run.m_Key.m_Sequence;
  Result.m_Outcome = End.m_Outcome;
  Result.m_HttpStatus = End.m_HttpStatus;
  Result.m_RunTime = m_Now - Run.m_Start;
  Result.m_Running = load();
  Result.m_Body = End.m_Body;
  Session.m_Window.mark(Result.m_Sequence, DispatchState::Finished);
  Session.m_Results.store(Result);
  ++m_Counters.m_Results;
  if (Session.m_HelloReceived)
    send(Session, std::move(Result));
}

// An endpoint that can't be reached gets no tasks until it announces itself
// again. An aborted or overdue connection attempt doesn't show whether the
// endpoint is reachable.
RefusalReason AgentCore::Impl::unreachedReason(const RunningTask &Run) const {
  if (Run.m_Aborted)
    return RefusalReason::Cancelled;
  return m_Now >= Run.m_Deadline ? RefusalReason::DeadlinePassed
                                 : RefusalReason::EndpointAbsent;
}

void AgentCore::Impl::onMessage(EntrySession &Session,
                                const CancelTasks &Message) {
  const std::uint64_t Window = Session.m_WindowId;
  refuseWaiting(
      [&](const WaitingTask &T) {
        return T.m_Key.m_WindowId == Window && T.m_Request == Message.m_Request;
      },
      RefusalReason::Cancelled);
  for (auto &[Id, Run] : m_Running) {
    if (Run.m_Key.m_WindowId != Window || Run.m_Aborted ||
        Run.m_Request != Message.m_Request)
      continue;
    Run.m_Aborted = true;
    m_Commands->push_back(AbortRun{Id});
  }
}

void AgentCore::Impl::onMessage(EntrySession &Session,
                                const Reconcile &Message) {
  ReconcileReply Reply;
  std::vector<Sequence> ToResend;
  for (const Sequence Number : Message.m_Sequences) {
    const SequenceState State = reconcile(Session, Number);
    Reply.m_Reports.push_back({Number, State});
    if (State == SequenceState::Finished)
      ToResend.push_back(Number);
  }
  send(Session, std::move(Reply));
  for (const Sequence Number : ToResend)
    resendResult(Session, Number);
  Session.m_ReconcileDeadline = TimePoint::min();
}

SequenceState AgentCore::Impl::reconcile(EntrySession &Session,
                                         Sequence Number) {
  if (!Session.m_Window.contains(Number))
    return SequenceState::Unknown;
  switch (Session.m_Window.stateOf(Number)) {
  case DispatchState::Running:
    return SequenceState::Running;
  case DispatchState::Finished:
    return Session.m_Results.find(Number) ? SequenceState::Finished
                                          : SequenceState::Unknown;
  case DispatchState::Waiting: {
    const std::uint64_t Window = Session.m_WindowId;
    m_Waiting.take([Window, Number](const WaitingTask &T) {
      return T.m_Key.m_WindowId == Window && T.m_Key.m_Sequence == Number;
    });
    break;
  }
  case DispatchState::Unseen:
  case DispatchState::Fenced:
    break;
  }
  Session.m_Window.mark(Number, DispatchState::Fenced);
  return SequenceState::Fenced;
}

} // namespace cyclamencroft
