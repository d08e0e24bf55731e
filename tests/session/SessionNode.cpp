// Clock, freezing and dialling of the processes of a session.
#include "SessionNode.h"

namespace cyclamencroft::session {
namespace {

// Delay before dialling a lost link again. It is fixed, since the random delays
// of the daemons would make transcripts harder to compare.
constexpr Duration RedialDelay = std::chrono::milliseconds(200);

// Delay from the start of a process to its first dial, so that peers started at
// the same time already listen.
constexpr Duration FirstDialDelay = std::chrono::milliseconds(1);

} // namespace

void SessionNode::start(const std::vector<std::string> &Peers) {
  m_Context.m_Network.attach(m_Name, *this);
  for (const std::string &Peer : Peers)
    m_Context.m_Events.schedule(
        m_Context.m_Events.now() + FirstDialDelay,
        [this, Peer] { runOrDefer([this, Peer] { dial(Peer); }); });
}

void SessionNode::kill() {
  m_Alive = false;
  m_Deferred.clear();
  m_Context.m_Network.detach(m_Name);
}

void SessionNode::thaw() {
  m_Frozen = false;
  while (!m_Deferred.empty() && m_Alive && !m_Frozen) {
    const EventQueue::Callback Handler = std::move(m_Deferred.front());
    m_Deferred.pop_front();
    Handler();
  }
}

void SessionNode::runOrDefer(EventQueue::Callback Handler) {
  if (!m_Alive)
    return;
  if (m_Frozen)
    m_Deferred.push_back(std::move(Handler));
  else
    Handler();
}

Duration SessionNode::nextTimerAt() const {
  if (!m_Alive || m_Frozen)
    return Duration::max();
  const TimePoint WakeupAt = nextWakeup();
  if (WakeupAt == TimePoint::max())
    return Duration::max();
  const Duration DueAt = WakeupAt.time_since_epoch() - m_ClockOffset;
  return std::max(DueAt, m_Context.m_Events.now());
}

void SessionNode::runTimer() { onTick(); }

void SessionNode::dial(const std::string &Peer) {
  if (!m_Alive || m_Context.m_Network.dial(m_Name, Peer))
    return;
  m_Context.m_Events.schedule(
      m_Context.m_Events.now() + RedialDelay,
      [this, Peer] { runOrDefer([this, Peer] { dial(Peer); }); });
}

void SessionNode::linkOpened(LinkId Link, const std::string &Peer,
                             bool IsDialer) {
  if (IsDialer)
    m_Dialled[Link] = Peer;
  runOrDefer([this, Link, Peer, IsDialer] { onOpened(Link, Peer, IsDialer); });
}

void SessionNode::linkClosed(LinkId Link) {
  runOrDefer([this, Link] {
    onClosed(Link);
    const auto Found = m_Dialled.find(Link);
    if (Found == m_Dialled.end())
      return;
    const std::string Peer = Found->second;
    m_Dialled.erase(Found);
    m_Context.m_Events.schedule(
        m_Context.m_Events.now() + RedialDelay,
        [this, Peer] { runOrDefer([this, Peer] { dial(Peer); }); });
  });
}

void SessionNode::messageArrived(LinkId Link, const LinkMessage &Message) {
  runOrDefer([this, Link, Message] { onMessage(Link, Message); });
}

void SessionNode::send(const SendMessage &Command) {
  const std::string Peer = m_Context.m_Network.peerOf(Command.m_Link);
  m_Context.m_Transcript.message(m_Context.m_Events.now(), m_Name,
                                 Peer.empty() ? "(closed)" : Peer,
                                 Command.m_Message);
  m_Context.m_Network.send(Command.m_Link, Command.m_Message);
}

void SessionNode::close(const CloseLink &Command) {
  note("closes link to " + m_Context.m_Network.peerOf(Command.m_Link) + ": " +
       Command.m_Reason);
  m_Context.m_Network.close(Command.m_Link);
}

void SessionNode::note(const std::string &Text) {
  m_Context.m_Transcript.add(m_Context.m_Events.now(), m_Name, Text);
}

} // namespace cyclamencroft::session
