// Runs a decision core on one thread: passes it events, executes its commands,
// and passes it a Tick at the time that it requests.
#pragma once

#include "core/Messages.h"
#include "core/RuntimeTimer.h"
#include "entry/EntryEvents.h"
#include "telemetry/EventLog.h"

#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace cyclamencroft {

/// \p Core handles \p Event and produces \p Command; JobCore is an example.
template <class Core, class Event, class Command> class CoreLoop {
public:
  struct Handlers {
    std::function<void(Command &)> m_CarryOut;
    /// Sends all messages that one turn has queued for one link as one frame.
    std::function<void(LinkId, const std::vector<LinkMessage> &)> m_SendFrame;
    /// Called after the commands of a turn have been executed.
    std::function<void()> m_AfterTurn;
  };

  /// \p Io must be run by one thread, on which every method must be called.
  CoreLoop(boost::asio::io_context &Io, Core &DecisionCore, Handlers H)
      : m_Core(DecisionCore), m_Handlers(std::move(H)), m_Timer(Io) {}

  void feed(const Event &NewEvent) {
    handle(NewEvent);
    execute();
  }

  /// Like feed(), but queues the commands until execute() is called.
  void handle(const Event &NewEvent) {
    m_Core.handle(RuntimeClock::now(), NewEvent, m_Commands);
  }

  /// Executes queued commands until none is left. A command may close a link;
  /// commands that follow from that run after the current batch.
  void execute() {
    if (std::exchange(m_Executing, true))
      return;
    while (!m_Commands.empty() || !m_Outgoing.empty()) {
      std::vector<Command> Commands = std::exchange(m_Commands, {});
      for (Command &Current : Commands)
        carryOut(Current);
      flush();
    }
    m_Executing = false;
    m_Handlers.m_AfterTurn();
    armTimer();
  }

  /// Appends a message to the next frame of its link.
  void enqueue(SendMessage &Message) {
    m_Outgoing[Message.m_Link].push_back(std::move(Message.m_Message));
  }

  /// Sends the queued messages, one frame per link.
  void flush() {
    for (const auto &[Link, Messages] : std::exchange(m_Outgoing, {}))
      m_Handlers.m_SendFrame(Link, Messages);
  }

private:
  /// The commands after one that fails are still executed.
  void carryOut(Command &Current) {
    try {
      m_Handlers.m_CarryOut(Current);
    } catch (const std::exception &Fault) {
      logEvent(LogLevel::Error, "command-failed", {{"reason", Fault.what()}});
    }
  }

  void armTimer() {
    const TimePoint Next = m_Core.nextWakeup();
    if (Next == m_TimerExpiry)
      return;
    m_TimerExpiry = Next;
    m_Timer.expires_at(Next);
    if (Next == TimePoint::max())
      return;
    m_Timer.async_wait([this](const boost::system::error_code &Fault) {
      if (Fault)
        return;
      m_TimerExpiry = TimePoint::min();
      feed(Tick{});
    });
  }

  Core &m_Core;
  const Handlers m_Handlers;
  std::vector<Command> m_Commands;
  std::map<LinkId, std::vector<LinkMessage>> m_Outgoing;
  bool m_Executing = false;
  RuntimeTimer m_Timer;
  /// Expiry of m_Timer; max() when it is not armed, min() after it has fired.
  TimePoint m_TimerExpiry = TimePoint::max();
};

} // namespace cyclamencroft
