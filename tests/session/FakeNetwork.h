// Links between the processes of a session. Like TCP, a link keeps the order of
// each direction and loses messages only when it breaks.
#pragma once

#include "EventQueue.h"
#include "core/Messages.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cyclamencroft::session {

/// A process as the network sees it.
class NetworkNode {
public:
  virtual ~NetworkNode() = default;
  virtual void linkOpened(LinkId Link, const std::string &Peer,
                          bool IsDialer) = 0;
  virtual void linkClosed(LinkId Link) = 0;
  virtual void messageArrived(LinkId Link, const LinkMessage &Message) = 0;
};

class FakeNetwork {
public:
  FakeNetwork(EventQueue &Events, Duration Latency)
      : m_Events(Events), m_Latency(Latency) {}

  void attach(const std::string &Name, NetworkNode &Node);
  /// The process dies: its links close at the other ends after the latency.
  void detach(const std::string &Name);

  /// Opens a link; false when the path is cut or the peer is not running.
  bool dial(const std::string &From, const std::string &To);
  void send(LinkId From, const LinkMessage &Message);
  /// The owner closes its end; the other learns it after what was sent before.
  void close(LinkId Which);

  /// Breaks the path: links between both close at both ends at once, messages
  /// under way are lost, and dialling fails until join().
  void cut(const std::string &A, const std::string &B);
  void join(const std::string &A, const std::string &B);
  void joinAll();

  /// Keeps back messages of one direction until release(); late messages.
  void hold(const std::string &From, const std::string &To);
  void release(const std::string &From, const std::string &To);
  void releaseAll();

  /// Delivers a message of \p Type from one process to another again: the last
  /// one sent, or one that is \p Back messages older; it may have been lost in
  /// a cut. Also on a later link of the same two processes. A sender's fault
  /// and not one of TCP, but the system must bear it.
  bool duplicate(const std::string &From, const std::string &To,
                 const std::string &Type, std::size_t Back = 0);

  /// Name of the process at the other end; empty for a closed link.
  std::string peerOf(LinkId End) const;

  std::uint64_t messagesSent() const { return m_Sent; }

private:
  struct Item {
    /// Empty closes the link.
    std::optional<LinkMessage> m_Message;
  };
  /// One end; what it sends is queued here until it arrives at the other.
  struct End {
    std::string m_Node;
    /// Start of the process that owns this end; see m_Lives.
    std::uint64_t m_Life = 0;
    LinkId m_Other{};
    std::deque<Item> m_Queue;
    /// Arrival time of the last item; later ones don't overtake it.
    Duration m_LastArrival{};
    /// Closed by its owner; sends and receives nothing more.
    bool m_Closed = false;
  };
  using Path = std::pair<std::string, std::string>;

  void push(LinkId From, Item What);
  void deliver(LinkId From);
  void drain(LinkId From);
  void dropEnd(LinkId Which, bool Tell);
  std::vector<LinkId> endsBetween(const std::string &From,
                                  const std::string &To) const;

  EventQueue &m_Events;
  Duration m_Latency;
  std::map<std::string, NetworkNode *> m_Nodes;
  std::map<LinkId, End> m_Ends;
  std::set<Path> m_Cut;
  std::set<Path> m_Held;
  /// A message and the lives of the two processes that its link joined.
  struct SentMessage {
    LinkMessage m_Message;
    std::uint64_t m_FromLife = 0;
    std::uint64_t m_ToLife = 0;
  };
  /// The newest messages by path and type, newest first.
  std::map<std::pair<Path, std::string>, std::deque<SentMessage>> m_SentLately;
  /// Number of starts of each process.
  std::map<std::string, std::uint64_t> m_Lives;
  std::uint64_t m_NextLink = 1;
  std::uint64_t m_Sent = 0;
};

} // namespace cyclamencroft::session
