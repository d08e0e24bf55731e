// Base class of the processes of a session: clock, freezing and dialling.
#pragma once

#include "FakeNetwork.h"
#include "InvariantChecker.h"
#include "SessionConfig.h"
#include "Transcript.h"

#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace cyclamencroft::session {

/// State that all processes of a session share.
struct SessionContext {
  EventQueue m_Events;
  FakeNetwork m_Network;
  SessionConfig m_Config;
  Transcript m_Transcript;
  InvariantChecker m_Checker;

  SessionContext(Duration Latency, std::vector<std::string> Domains)
      : m_Network(m_Events, Latency), m_Config(std::move(Domains)) {}
};

class SessionNode : public NetworkNode {
public:
  /// \p ClockOffset differs between processes, so that code which compares the
  /// clocks of two hosts fails.
  SessionNode(SessionContext &Context, std::string Name, Duration ClockOffset)
      : m_Context(Context), m_Name(std::move(Name)),
        m_ClockOffset(ClockOffset) {}

  const std::string &name() const { return m_Name; }

  /// Starts the process; it dials \p Peers and redials lost links.
  void start(const std::vector<std::string> &Peers);
  void kill();
  bool alive() const { return m_Alive; }

  /// A frozen process handles no events; they are deferred until thaw().
  void freeze() { m_Frozen = true; }
  void thaw();

  /// Session time at which the next timer is due; Duration::max() for none.
  Duration nextTimerAt() const;
  void runTimer();

  void linkOpened(LinkId Link, const std::string &Peer, bool IsDialer) final;
  void linkClosed(LinkId Link) final;
  void messageArrived(LinkId Link, const LinkMessage &Message) final;

  /// Runs \p Handler now, or after thaw() while the process is frozen. Does
  /// nothing after the process has ended.
  void runOrDefer(EventQueue::Callback Handler);

protected:
  virtual TimePoint nextWakeup() const = 0;
  virtual void onTick() = 0;
  virtual void onOpened(LinkId Link, const std::string &Peer,
                        bool IsDialer) = 0;
  virtual void onClosed(LinkId Link) = 0;
  virtual void onMessage(LinkId Link, const LinkMessage &Message) = 0;

  TimePoint clock() const {
    return TimePoint(m_Context.m_Events.now() + m_ClockOffset);
  }
  /// Passes \p NewEvent to a decision core, runs \p Execute with each command,
  /// and checks the version of the configuration afterwards. Does nothing after
  /// the process has ended.
  template <class Command, class Core, class Event, class Executor>
  void handleWith(Core &DecisionCore, const Event &NewEvent, Incarnation Id,
                  const Executor &Execute) {
    if (!m_Alive)
      return;
    std::vector<Command> Commands;
    DecisionCore.handle(clock(), NewEvent, Commands);
    for (const Command &Each : Commands)
      std::visit(Execute, Each);
    const std::string Process =
        m_Name + "#" + std::to_string(static_cast<std::uint64_t>(Id));
    m_Context.m_Checker.checkConfigVersion(
        Process, DecisionCore.status().m_ConfigVersion);
  }
  void send(const SendMessage &Command);
  void close(const CloseLink &Command);
  void note(const std::string &Text);

  SessionContext &m_Context;

private:
  void dial(const std::string &Peer);

  std::string m_Name;
  Duration m_ClockOffset;
  bool m_Alive = true;
  bool m_Frozen = false;
  std::deque<EventQueue::Callback> m_Deferred;
  /// Peers of the links that this process dialled and redials when lost.
  std::map<LinkId, std::string> m_Dialled;
};

} // namespace cyclamencroft::session
