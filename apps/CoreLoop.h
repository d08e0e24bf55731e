// Drives a decision core on one thread: feeds it events, has its commands
// carried out, and wakes it when it asks for that.
#pragma once

#include "core/Messages.h"
#include "core/RuntimeTimer.h"
#include "entry/EntryEvents.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace cyclamencroft {

/// \p Core consumes \p Event and produces \p Command, as JobCore does.
template <class Core, class Event, class Command> class CoreLoop {
public:
  struct Handlers {
    std::function<void(Command &)> m_CarryOut;
    /// The messages of one turn to one link leave in one frame.
    std::function<void(LinkId, const std::vector<LinkMessage> &)> m_SendFrame;
    /// After the commands of a turn.
    std::function<void()> m_AfterTurn;
  };

  /// \p Io is run by one thread; every method is called on it.
  CoreLoop(boost::asio::io_context &Io, Core &Driven, Handlers H)
      : m_Core(Driven), m_Handlers(std::move(H)), m_Timer(Io) {}

  void feed(const Event &Happened) {
    handle(Happened);
    execute();
  }

  /// As feed(), but commands wait for execute().
  void handle(const Event &Happened) {
    m_Core.handle(RuntimeClock::now(), Happened, m_Commands);
  }

  /// Carrying a command out may close a link, which is handled after the
  /// present commands.
  void execute() {
    if (std::exchange(m_Executing, true))
      return;
    while (!m_Commands.empty() || !m_Outgoing.empty()) {
      std::vector<Command> Commands = std::exchange(m_Commands, {});
      for (Command &Each : Commands)
        m_Handlers.m_CarryOut(Each);
      flush();
    }
    m_Executing = false;
    m_Handlers.m_AfterTurn();
    armTimer();
  }

  /// Adds a message to the link's next frame.
  void enqueue(SendMessage &Message) {
    m_Outgoing[Message.m_Link].push_back(std::move(Message.m_Message));
  }

  /// Sends what is enqueued.
  void flush() {
    for (const auto &[Link, Messages] : std::exchange(m_Outgoing, {}))
      m_Handlers.m_SendFrame(Link, Messages);
  }

private:
  void armTimer() {
    const TimePoint Next = m_Core.nextWakeup();
    if (Next == m_TimerAt)
      return;
    m_TimerAt = Next;
    m_Timer.expires_at(Next);
    if (Next == TimePoint::max())
      return;
    m_Timer.async_wait([this](const boost::system::error_code &Fault) {
      if (Fault)
        return;
      m_TimerAt = TimePoint::min();
      feed(Tick{});
    });
  }

  Core &m_Core;
  const Handlers m_Handlers;
  std::vector<Command> m_Commands;
  std::map<LinkId, std::vector<LinkMessage>> m_Outgoing;
  bool m_Executing = false;
  RuntimeTimer m_Timer;
  /// Time that m_Timer waits for.
  TimePoint m_TimerAt = TimePoint::max();
};

} // namespace cyclamencroft
